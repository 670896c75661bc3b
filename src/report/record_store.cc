#include "src/report/record_store.h"

#include <map>
#include <memory>
#include <utility>

#include "platform/blocking_store_client.h"

namespace radishwing::report {
namespace {

std::string StoreKey(const std::string& name) { return "rw/burn/" + name; }

result<stored_record> ReadRecord(platform::blocking_store_client& store,
                                 const std::string& name) {
  auto item = store.Get(StoreKey(name));
  if (!Ok(item)) return Error(item);
  return stored_record{Value(item).value, Value(item).revision};
}

result<success> WriteRecord(platform::blocking_store_client& store,
                            const std::string& name, const std::string& text,
                            std::uint64_t version) {
  store::store_commit commit;
  commit.preconditions = {{StoreKey(name), version}};
  commit.writes = {{StoreKey(name), text, 0}};
  auto outcome = store.Commit(commit);
  if (!Ok(outcome)) return Error(outcome);
  if (Value(outcome).committed) return success();
  return failure{failure_kind::kConflict,
                 "store: record " + name + " was modified concurrently"};
}

}  // namespace

result<record_store> MakePlatformStore(const std::string& address) {
  auto made = platform::blocking_store_client::Make(address);
  if (!Ok(made)) return Error(made);
  std::shared_ptr<platform::blocking_store_client> client =
      std::move(Value(made));
  record_store store;
  store.read = [client](const std::string& name) {
    return ReadRecord(*client, name);
  };
  store.write = [client](const std::string& name, const std::string& text,
                         std::uint64_t version) {
    return WriteRecord(*client, name, text, version);
  };
  return store;
}

record_store MakeMemoryStore() {
  auto records = std::make_shared<std::map<std::string, stored_record>>();
  record_store store;
  store.read = [records](const std::string& name) -> result<stored_record> {
    return (*records)[name];
  };
  store.write = [records](const std::string& name, const std::string& text,
                          std::uint64_t version) -> result<success> {
    stored_record& record = (*records)[name];
    if (record.version != version) {
      return failure{failure_kind::kConflict,
                     "concurrent modification of record " + name};
    }
    record = {text, version + 1};
    return success();
  };
  return store;
}

}  // namespace radishwing::report

#include "src/report/record_store.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "platform/store_client.h"

namespace radishwing::report {
namespace {

std::string KeyOf(const std::string& name) { return "rw/burn/" + name; }

/// The store, called one call after the other.
struct connection {
  boost::asio::io_context io;
  std::unique_ptr<platform::store_client> client;

  template <typename T>
  result<T> Wait(std::optional<result<T>>& answer) {
    io.restart();
    while (!answer && io.run_one() > 0) {
    }
    if (answer) return std::move(*answer);
    return failure{failure_kind::kUnavailable, "the store gave no answer"};
  }
};

result<stored_record> ReadRecord(connection& link, const std::string& name) {
  std::optional<result<store::store_item>> answer;
  link.client->Get(KeyOf(name), [&](result<store::store_item> item) {
    answer = std::move(item);
  });
  auto item = link.Wait(answer);
  if (!Ok(item)) return Error(item);
  return stored_record{Value(item).value, Value(item).revision};
}

result<done> WriteRecord(connection& link, const std::string& name,
                         const std::string& text, std::uint64_t version) {
  store::store_commit commit;
  commit.expected = {{KeyOf(name), version}};
  commit.writes = {{KeyOf(name), text, 0}};
  std::optional<result<store::commit_outcome>> answer;
  link.client->Commit(commit, [&](result<store::commit_outcome> outcome) {
    answer = std::move(outcome);
  });
  auto outcome = link.Wait(answer);
  if (!Ok(outcome)) return Error(outcome);
  if (Value(outcome).committed) return done();
  return failure{failure_kind::kConflict,
                 "store: record " + name + " was changed meanwhile"};
}

}  // namespace

result<record_store> MakePlatformStore(const std::string& address) {
  auto link = std::make_shared<connection>();
  auto made = platform::store_client::Make(
      link->io, address, nullptr,
      [](std::string_view, std::string_view, millis) {});
  if (!Ok(made)) return Error(made);
  link->client = std::move(Value(made));
  record_store store;
  store.read = [link](const std::string& name) {
    return ReadRecord(*link, name);
  };
  store.write = [link](const std::string& name, const std::string& text,
                       std::uint64_t version) {
    return WriteRecord(*link, name, text, version);
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
                          std::uint64_t version) -> result<done> {
    stored_record& record = (*records)[name];
    if (record.version != version) {
      return failure{failure_kind::kConflict, "record " + name};
    }
    record = {text, version + 1};
    return done();
  };
  return store;
}

}  // namespace radishwing::report

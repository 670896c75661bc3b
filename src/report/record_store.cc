#include "src/report/record_store.h"

#include <map>
#include <memory>

#include "src/base/json_fields.h"
#include "src/http/target.h"
#include "src/report/http_fetch.h"

namespace radishwing::report {
namespace {

using boost::beast::http::verb;

std::string KeyTarget(const std::string& name) {
  return "/v1/kv/" + http::EscapePath("burn/" + name);
}

failure StatusFailure(const std::string& name, unsigned status) {
  return {failure_kind::kUnavailable, "store: record " + name +
                                          " answered with status " +
                                          std::to_string(status)};
}

result<stored_record> ReadRecord(const std::string& address,
                                 const std::string& name) {
  http::client_request request;
  request.target = KeyTarget(name);
  request.repeatable = true;
  auto response = Fetch(address, std::move(request));
  if (!Ok(response)) return Error(response);
  if (Value(response).status == 404) return stored_record{};
  if (Value(response).status != 200) {
    return StatusFailure(name, Value(response).status);
  }
  auto fields = json_fields::Parse("store answer", Value(response).body);
  if (!Ok(fields)) return Error(fields);
  stored_record record{Value(fields).Text("value"),
                       Value(fields).Unsigned("version")};
  if (!Value(fields).Valid()) return Value(fields).Failure();
  return record;
}

result<done> WriteRecord(const std::string& address, const std::string& name,
                         const std::string& text, std::uint64_t version) {
  http::client_request request;
  request.method = verb::put;
  request.target = KeyTarget(name) + "?expect=" + std::to_string(version);
  request.body = text;
  auto response = Fetch(address, std::move(request));
  if (!Ok(response)) return Error(response);
  if (Value(response).status == 200) return done();
  if (Value(response).status == 409) {
    return failure{failure_kind::kConflict,
                   "store: record " + name + " was changed meanwhile"};
  }
  return StatusFailure(name, Value(response).status);
}

}  // namespace

record_store MakePlatformStore(const std::string& address) {
  record_store store;
  store.read = [address](const std::string& name) {
    return ReadRecord(address, name);
  };
  store.write = [address](const std::string& name, const std::string& text,
                          std::uint64_t version) {
    return WriteRecord(address, name, text, version);
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

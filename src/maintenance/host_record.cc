#include "src/maintenance/host_record.h"

#include <array>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "src/base/json_fields.h"

namespace radishwing::maintenance {
namespace {

constexpr std::array<std::string_view, 5> kStateNames = {
    "active", "draining", "empty", "maintenance", "failed"};

}  // namespace

std::string_view HostStateName(host_state state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

std::string FormatHostRecord(const host_record& record) {
  boost::json::object object;
  object["host"] = record.host;
  object["data_centre"] = record.data_centre;
  object["rack"] = record.rack;
  object["pool"] = record.pool;
  object["state"] = HostStateName(record.state);
  object["epoch"] = static_cast<std::int64_t>(record.epoch);
  object["reason"] = record.reason;
  object["next_pool"] = record.next_pool;
  object["home_pool"] = record.home_pool;
  object["maintained_by"] = record.maintained_by;
  object["change_id"] = record.change_id;
  return boost::json::serialize(object);
}

result<host_record> ParseHostRecord(std::string_view text) {
  result<json_fields> parsed = json_fields::Parse("host record", text);
  if (!Ok(parsed)) return Error(parsed);
  json_fields& fields = Value(parsed);
  host_record record;
  record.host = fields.Text("host");
  record.data_centre = fields.Text("data_centre");
  record.rack = fields.Text("rack");
  record.pool = fields.Text("pool");
  record.epoch = fields.Unsigned("epoch");
  record.reason = fields.Text("reason");
  record.next_pool = fields.Text("next_pool");
  record.home_pool = fields.Text("home_pool");
  record.maintained_by = fields.Text("maintained_by");
  record.change_id = fields.Text("change_id");
  const std::string state = fields.Text("state");
  bool known = false;
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (state != kStateNames[i]) continue;
    record.state = static_cast<host_state>(i);
    known = true;
  }
  if (!known) fields.Reject("state");
  if (!fields.Valid()) return fields.Failure();
  return record;
}

}  // namespace radishwing::maintenance

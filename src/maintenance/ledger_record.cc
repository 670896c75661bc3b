#include "src/maintenance/ledger_record.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "src/base/json_fields.h"

namespace radishwing::maintenance {
namespace {

using text_map = std::map<std::string, std::string, std::less<>>;

boost::json::object ToObject(const text_map& items) {
  boost::json::object object;
  for (const auto& [key, text] : items) object[key] = text;
  return object;
}

text_map FromObject(json_fields& fields, std::string_view key) {
  text_map items;
  for (const auto& item : fields.Object(key)) {
    if (!item.value().is_string()) {
      fields.Reject(key);
      break;
    }
    items[std::string(item.key())] = item.value().as_string();
  }
  return items;
}

}  // namespace

std::uint32_t ledger_record::PlannedStops() const {
  std::uint32_t count = 0;
  for (const auto& [host, reason] : unavailable)
    count += reason != kFailedReason;
  return count;
}

std::string FormatLedgerRecord(const ledger_record& record) {
  boost::json::object object;
  object["pool"] = record.pool;
  object["floor"] = static_cast<std::int64_t>(record.floor);
  object["hosts"] = ToObject(record.hosts);
  object["unavailable"] = ToObject(record.unavailable);
  object["rack_in_wave"] = record.rack_in_wave;
  object["change_id"] = record.change_id;
  return boost::json::serialize(object);
}

result<ledger_record> ParseLedgerRecord(std::string_view text) {
  result<json_fields> parsed = json_fields::Parse("ledger record", text);
  if (!Ok(parsed)) return Error(parsed);
  json_fields& fields = Value(parsed);
  ledger_record record;
  record.pool = fields.Text("pool");
  record.floor = static_cast<std::uint32_t>(fields.Unsigned("floor"));
  record.hosts = FromObject(fields, "hosts");
  record.unavailable = FromObject(fields, "unavailable");
  record.rack_in_wave = fields.Text("rack_in_wave");
  record.change_id = fields.Text("change_id");
  for (const auto& [host, reason] : record.unavailable) {
    if (!record.hosts.contains(host)) fields.Reject("unavailable");
  }
  if (!fields.Valid()) return fields.Failure();
  return record;
}

}  // namespace radishwing::maintenance

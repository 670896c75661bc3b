#include "src/quota/token_record.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "src/base/json_fields.h"

namespace radishwing::quota {

std::int64_t token_record::Circulating() const {
  std::int64_t sum = unlisted;
  for (const auto& [holder, grant] : grants) sum += grant;
  return sum;
}

std::int64_t token_record::Unallocated() const {
  return std::max<std::int64_t>(0, limit - Circulating());
}

std::int64_t token_record::LimitInForce() const {
  return std::max<std::int64_t>(limit, Circulating());
}

std::string FormatTokenRecord(const token_record& record) {
  boost::json::object grants;
  for (const auto& [holder, grant] : record.grants) grants[holder] = grant;
  boost::json::object object;
  object["epoch"] = static_cast<std::int64_t>(record.epoch);
  object["limit"] = static_cast<std::int64_t>(record.limit);
  object["grants"] = std::move(grants);
  object["unlisted"] = record.unlisted;
  object["change_id"] = record.change_id;
  return boost::json::serialize(object);
}

result<token_record> ParseTokenRecord(std::string_view text) {
  result<json_fields> parsed = json_fields::Parse("token record", text);
  if (!Ok(parsed)) return Error(parsed);
  json_fields& fields = Value(parsed);
  token_record record;
  record.epoch = fields.Unsigned("epoch");
  record.limit = static_cast<std::uint32_t>(fields.Unsigned("limit"));
  record.unlisted = fields.Signed("unlisted");
  record.change_id = fields.Text("change_id");
  json_fields grants("token record", fields.Object("grants"));
  for (const auto& item : fields.Object("grants")) {
    const std::string holder(item.key());
    record.grants[holder] = grants.Signed(holder);
  }
  if (!fields.Valid()) return fields.Failure();
  if (!grants.Valid()) return grants.Failure();
  return record;
}

}  // namespace radishwing::quota

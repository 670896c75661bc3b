#include "src/requests/roster_record.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <utility>

#include "src/base/json_fields.h"

namespace radishwing::requests {
namespace {

boost::json::array MembersToJson(const std::vector<roster_member>& members) {
  boost::json::array array;
  for (const roster_member& member : members) {
    boost::json::object object;
    object["id"] = member.id;
    object["data_centre"] = member.data_centre;
    object["removed"] = member.removed;
    array.push_back(std::move(object));
  }
  return array;
}

result<json_fields> FieldsOf(const boost::json::value& value) {
  if (!value.is_object()) {
    return failure{failure_kind::kInvalid, "roster item is not an object"};
  }
  return json_fields("roster item", value.as_object());
}

result<std::vector<roster_member>> MembersFromJson(
    const boost::json::array& array) {
  std::vector<roster_member> members;
  for (const boost::json::value& value : array) {
    result<json_fields> item = FieldsOf(value);
    if (!Ok(item)) return Error(item);
    json_fields& fields = Value(item);
    roster_member member;
    member.id = fields.Text("id");
    member.data_centre = fields.Text("data_centre");
    member.removed = fields.Flag("removed");
    if (!fields.Valid()) return fields.Failure();
    members.push_back(std::move(member));
  }
  return members;
}

result<std::vector<former_roster>> FormerFromJson(
    const boost::json::array& array) {
  std::vector<former_roster> all;
  for (const boost::json::value& value : array) {
    result<json_fields> item = FieldsOf(value);
    if (!Ok(item)) return Error(item);
    json_fields& fields = Value(item);
    former_roster former;
    former.epoch = fields.Unsigned("epoch");
    former.settled = fields.Flag("settled");
    result<std::vector<roster_member>> members =
        MembersFromJson(fields.Array("members"));
    if (!fields.Valid()) return fields.Failure();
    if (!Ok(members)) return Error(members);
    former.members = std::move(Value(members));
    all.push_back(std::move(former));
  }
  return all;
}

}  // namespace

bool roster_record::Lists(std::string_view id) const {
  return std::any_of(members.begin(), members.end(),
                     [id](const roster_member& m) { return m.id == id; });
}

std::string FormatRosterRecord(const roster_record& record) {
  boost::json::array former;
  for (const former_roster& roster : record.former) {
    boost::json::object object;
    object["epoch"] = static_cast<std::int64_t>(roster.epoch);
    object["members"] = MembersToJson(roster.members);
    object["settled"] = roster.settled;
    former.push_back(std::move(object));
  }
  boost::json::array unsettled;
  for (const std::string& id : record.unsettled) {
    unsettled.push_back(boost::json::value(id));
  }
  boost::json::object object;
  object["epoch"] = static_cast<std::int64_t>(record.epoch);
  object["members"] = MembersToJson(record.members);
  object["unsettled"] = std::move(unsettled);
  object["former"] = std::move(former);
  object["change_id"] = record.change_id;
  return boost::json::serialize(object);
}

result<roster_record> ParseRosterRecord(std::string_view text) {
  result<json_fields> parsed = json_fields::Parse("roster record", text);
  if (!Ok(parsed)) return Error(parsed);
  json_fields& fields = Value(parsed);
  roster_record record;
  record.epoch = fields.Unsigned("epoch");
  record.change_id = fields.Text("change_id");
  for (const boost::json::value& id : fields.Array("unsettled")) {
    if (!id.is_string()) {
      fields.Reject("unsettled");
      break;
    }
    record.unsettled.insert(std::string(id.as_string()));
  }
  auto members = MembersFromJson(fields.Array("members"));
  auto former = FormerFromJson(fields.Array("former"));
  if (!fields.Valid()) return fields.Failure();
  if (!Ok(members)) return Error(members);
  if (!Ok(former)) return Error(former);
  record.members = std::move(Value(members));
  record.former = std::move(Value(former));
  return record;
}

}  // namespace radishwing::requests

#include "src/settings/fleet_checker.h"

#include <set>

#include "src/settings/nearest_name.h"

namespace radishwing::settings {
namespace {

// Tolerance for the sum of the shares: decimal fractions such as 0.1 have no
// exact binary representation.
constexpr double kShareTolerance = 1e-9;

// Returns the value of the member `name` of `object`. Returns null if the
// member is absent or its value is not of the kind `kind`.
const json_value* FindMemberOfKind(const json_value& object,
                                   std::string_view name, json_kind kind) {
  const json_member* member = object.Find(name);
  if (member == nullptr || member->value.kind != kind) return nullptr;
  return &member->value;
}

bool IsNumber(const json_value& value) {
  return value.kind == json_kind::kInteger || value.kind == json_kind::kDouble;
}

std::string FormatNumber(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) text.pop_back();
  return text;
}

}  // namespace

std::vector<finding> fleet_checker::CollectFindings() {
  CheckShareSum();
  CheckTeams();
  for (const json_member& pool : FindMembers("pools")) CheckFloorHosts(pool);
  CheckSparePool();
  for (const json_member& service : FindMembers("services")) {
    CheckService(service);
  }
  for (const json_member& wave : FindMembers("waves")) {
    CheckReferences(wave.value, "pools", "pools", JoinPath("waves", wave.name));
  }
  return std::move(findings_);
}

std::span<const json_member> fleet_checker::FindMembers(
    std::string_view section) const {
  const json_member* member = document_.root.Find(section);
  if (member == nullptr) return {};
  return member->value.members;
}

void fleet_checker::AddFinding(const json_value& value, const std::string& path,
                               std::string found, std::string allowed) {
  findings_.push_back(document_.MakeFindingAt(
      value.range.begin, path, std::move(found), std::move(allowed)));
}

// Adds at most one finding, at the first share with which the sum of the shares
// exceeds 1.
void fleet_checker::CheckShareSum() {
  double sum = 0;
  for (const json_member& team : FindMembers("teams")) {
    const json_member* share = team.value.Find("share");
    if (share == nullptr || !IsNumber(share->value)) continue;
    if (share->value.number_value < 0 || share->value.number_value > 1)
      continue;
    const double before = sum;
    sum += share->value.number_value;
    if (sum <= 1 + kShareTolerance) continue;
    AddFinding(
        share->value, JoinPath(JoinPath("teams", team.name), "share"),
        "sum of shares " + FormatNumber(sum) + " with this team",
        "sum at most 1, so at most " + FormatNumber(1 - before) + " here");
    return;
  }
}

void fleet_checker::CheckTeams() {
  for (const json_member& team : FindMembers("teams")) CheckTeam(team);
}

void fleet_checker::CheckTeam(const json_member& team) {
  // In metrics, the team "-" stands for requests without a team.
  if (team.name == "-") {
    findings_.push_back(document_.MakeFindingAt(
        team.name_range.begin, "teams", "team named \"-\"", "any other name"));
  }
  const json_value* keys =
      FindMemberOfKind(team.value, "keys", json_kind::kArray);
  if (keys == nullptr) return;
  std::set<std::string> ids;
  const std::string path = JoinPath(JoinPath("teams", team.name), "keys");
  for (std::size_t i = 0; i < keys->elements.size(); ++i) {
    const std::string item_path = path + "[" + std::to_string(i) + "]";
    const json_value* id =
        FindMemberOfKind(keys->elements[i], "id", json_kind::kString);
    if (id != nullptr && !ids.insert(id->string_value).second) {
      AddFinding(*id, JoinPath(item_path, "id"), "repeated key id",
                 "an id unique within the team");
    }
    const json_value* hash =
        FindMemberOfKind(keys->elements[i], "sha256", json_kind::kString);
    if (hash == nullptr) continue;
    const auto [first, added] =
        key_hashes_.emplace(hash->string_value, item_path);
    if (!added) {
      AddFinding(*hash, JoinPath(item_path, "sha256"),
                 "same hash as " + first->second,
                 "a distinct key in each entry");
    }
  }
}

void fleet_checker::CheckFloorHosts(const json_member& pool) {
  const json_value* floor =
      FindMemberOfKind(pool.value, "floor_hosts", json_kind::kInteger);
  const json_value* target =
      FindMemberOfKind(pool.value, "target_hosts", json_kind::kInteger);
  if (floor == nullptr || target == nullptr) return;
  if (floor->integer_value <= target->integer_value) return;
  AddFinding(*floor, JoinPath(JoinPath("pools", pool.name), "floor_hosts"),
             "floor of " + std::to_string(floor->integer_value) + " hosts",
             "at most target_hosts, " + std::to_string(target->integer_value));
}

void fleet_checker::CheckSparePool() {
  const json_member* pools = document_.root.Find("pools");
  if (pools == nullptr || pools->value.kind != json_kind::kObject) return;
  const json_member* first = nullptr;
  bool ill_typed = false;
  for (const json_member& pool : FindMembers("pools")) {
    const json_member* spare = pool.value.Find("spare");
    if (spare == nullptr) continue;
    ill_typed |= spare->value.kind != json_kind::kBool;
    if (!spare->value.bool_value) continue;
    if (first == nullptr) {
      first = &pool;
      continue;
    }
    AddFinding(
        spare->value, JoinPath(JoinPath("pools", pool.name), "spare"),
        "another spare pool",
        "exactly one spare pool; \"" + first->name + "\" is already marked");
  }
  if (first != nullptr || ill_typed) return;
  findings_.push_back(
      document_.MakeFindingAt(pools->name_range.begin, "pools", "no spare pool",
                              "exactly one pool with \"spare\": true"));
}

void fleet_checker::CheckService(const json_member& service) {
  const std::string path = JoinPath("services", service.name);
  if (service.name == "radishwing") {
    findings_.push_back(document_.MakeFindingAt(
        service.name_range.begin, path, "service named \"radishwing\"",
        "any other name; the path /radishwing/ is reserved"));
  }
  if (const json_value* pool =
          FindMemberOfKind(service.value, "pool", json_kind::kString)) {
    CheckReference(*pool, "pools", JoinPath(path, "pool"));
  }
  CheckReferences(service.value, "teams", "teams", path);
  const json_value* open =
      FindMemberOfKind(service.value, "open", json_kind::kBool);
  const json_member* teams = service.value.Find("teams");
  if (open != nullptr && open->bool_value && teams != nullptr) {
    AddFinding(*open, JoinPath(path, "open"),
               "open service restricted to teams",
               "either \"open\": true or \"teams\"");
  }
  const json_value* slots =
      FindMemberOfKind(service.value, "runner_slots", json_kind::kInteger);
  const json_value* connections = FindMemberOfKind(
      service.value, "runner_connections", json_kind::kInteger);
  if (slots != nullptr && connections != nullptr &&
      connections->integer_value < slots->integer_value) {
    AddFinding(
        *connections, JoinPath(path, "runner_connections"),
        std::to_string(connections->integer_value) + " connections",
        "at least runner_slots, " + std::to_string(slots->integer_value));
  }
}

void fleet_checker::CheckReferences(const json_value& owner,
                                    std::string_view field,
                                    std::string_view section,
                                    const std::string& path) {
  const json_value* list = FindMemberOfKind(owner, field, json_kind::kArray);
  if (list == nullptr) return;
  for (std::size_t i = 0; i < list->elements.size(); ++i) {
    if (list->elements[i].kind != json_kind::kString) continue;
    CheckReference(list->elements[i], section,
                   JoinPath(path, field) + "[" + std::to_string(i) + "]");
  }
}

void fleet_checker::CheckReference(const json_value& value,
                                   std::string_view section,
                                   const std::string& path) {
  for (const json_member& member : FindMembers(section)) {
    if (member.name == value.string_value) return;
  }
  std::vector<std::string> known;
  for (const json_member& member : FindMembers(section)) {
    known.push_back(member.name);
  }
  std::string allowed = "a name in " + std::string(section);
  const std::string nearest = FindNearestName(value.string_value, known);
  if (!nearest.empty()) allowed += " (did you mean \"" + nearest + "\"?)";
  AddFinding(value, path,
             "unknown name \"" + value.string_value.substr(0, 64) + "\"",
             std::move(allowed));
}

}  // namespace radishwing::settings

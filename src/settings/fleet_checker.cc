#include "src/settings/fleet_checker.h"

#include <set>

#include "src/settings/nearest_name.h"

namespace radishwing::settings {
namespace {

// Shares such as 0.1 have no exact binary form.
constexpr double kShareTolerance = 1e-9;

/// The member `name` of `branch` if its value has the kind `kind`, or null.
const node* FindKind(const node& branch, std::string_view name,
                     node_kind kind) {
  const node_member* member = branch.Find(name);
  if (member == nullptr || member->value.kind != kind) return nullptr;
  return &member->value;
}

bool IsNumber(const node& value) {
  return value.kind == node_kind::kInteger || value.kind == node_kind::kReal;
}

std::string NumberText(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) text.pop_back();
  return text;
}

}  // namespace

std::vector<finding> fleet_checker::Check() {
  CheckShares();
  CheckKeys();
  for (const node_member& pool : Members("pools")) CheckFloor(pool);
  CheckSpare();
  for (const node_member& service : Members("services")) {
    CheckService(service);
  }
  for (const node_member& wave : Members("waves")) {
    CheckReferences(wave.value, "pools", "pools", JoinPath("waves", wave.name));
  }
  return std::move(findings_);
}

std::span<const node_member> fleet_checker::Members(
    std::string_view branch) const {
  const node_member* member = tree_.root.Find(branch);
  if (member == nullptr) return {};
  return member->value.members;
}

void fleet_checker::Report(const node& value, const std::string& path,
                           std::string found, std::string allowed) {
  findings_.push_back(tree_.FindingAt(value.range.begin, path, std::move(found),
                                      std::move(allowed)));
}

// Reports the share that makes the sum exceed 1, and only that one.
void fleet_checker::CheckShares() {
  double sum = 0;
  for (const node_member& team : Members("teams")) {
    const node_member* share = team.value.Find("share");
    if (share == nullptr || !IsNumber(share->value)) continue;
    if (share->value.real < 0 || share->value.real > 1) continue;
    const double before = sum;
    sum += share->value.real;
    if (sum <= 1 + kShareTolerance) continue;
    Report(share->value, JoinPath(JoinPath("teams", team.name), "share"),
           "sum of shares " + NumberText(sum) + " with this team",
           "sum at most 1, so at most " + NumberText(1 - before) + " here");
    return;
  }
}

void fleet_checker::CheckKeys() {
  for (const node_member& team : Members("teams")) CheckTeamKeys(team);
}

void fleet_checker::CheckTeamKeys(const node_member& team) {
  // Metrics use "-" for requests without a team.
  if (team.name == "-") {
    findings_.push_back(tree_.FindingAt(team.name_range.begin, "teams",
                                        "team named \"-\"", "any other name"));
  }
  const node* keys = FindKind(team.value, "keys", node_kind::kList);
  if (keys == nullptr) return;
  std::set<std::string> ids;
  const std::string path = JoinPath(JoinPath("teams", team.name), "keys");
  for (std::size_t i = 0; i < keys->items.size(); ++i) {
    const std::string item_path = path + "[" + std::to_string(i) + "]";
    const node* id = FindKind(keys->items[i], "id", node_kind::kText);
    if (id != nullptr && !ids.insert(id->text).second) {
      Report(*id, JoinPath(item_path, "id"), "repeated key id",
             "an id that no other key of the team has");
    }
    const node* hash = FindKind(keys->items[i], "sha256", node_kind::kText);
    if (hash == nullptr) continue;
    const auto [first, added] = key_hashes_.emplace(hash->text, item_path);
    if (!added) {
      Report(*hash, JoinPath(item_path, "sha256"),
             "the same hash as " + first->second, "a key of its own");
    }
  }
}

void fleet_checker::CheckFloor(const node_member& pool) {
  const node* floor = FindKind(pool.value, "floor_hosts", node_kind::kInteger);
  const node* target =
      FindKind(pool.value, "target_hosts", node_kind::kInteger);
  if (floor == nullptr || target == nullptr) return;
  if (floor->integer <= target->integer) return;
  Report(*floor, JoinPath(JoinPath("pools", pool.name), "floor_hosts"),
         "floor of " + std::to_string(floor->integer) + " hosts",
         "at most target_hosts, " + std::to_string(target->integer));
}

void fleet_checker::CheckSpare() {
  const node_member* pools = tree_.root.Find("pools");
  if (pools == nullptr || pools->value.kind != node_kind::kBranch) return;
  const node_member* first = nullptr;
  bool ill_typed = false;
  for (const node_member& pool : Members("pools")) {
    const node_member* spare = pool.value.Find("spare");
    if (spare == nullptr) continue;
    ill_typed |= spare->value.kind != node_kind::kFlag;
    if (!spare->value.flag) continue;
    if (first == nullptr) {
      first = &pool;
      continue;
    }
    Report(spare->value, JoinPath(JoinPath("pools", pool.name), "spare"),
           "another spare pool",
           "exactly one spare pool; \"" + first->name + "\" is one already");
  }
  if (first != nullptr || ill_typed) return;
  findings_.push_back(tree_.FindingAt(pools->name_range.begin, "pools",
                                      "no spare pool",
                                      "exactly one pool with \"spare\": true"));
}

void fleet_checker::CheckService(const node_member& service) {
  const std::string path = JoinPath("services", service.name);
  if (service.name == "radishwing") {
    findings_.push_back(tree_.FindingAt(
        service.name_range.begin, path, "service named \"radishwing\"",
        "any other name; /radishwing/ is the fleet's own"));
  }
  if (const node* pool = FindKind(service.value, "pool", node_kind::kText)) {
    CheckReference(*pool, "pools", JoinPath(path, "pool"));
  }
  CheckReferences(service.value, "teams", "teams", path);
  const node* open = FindKind(service.value, "open", node_kind::kFlag);
  const node_member* teams = service.value.Find("teams");
  if (open != nullptr && open->flag && teams != nullptr) {
    Report(*open, JoinPath(path, "open"), "open service with a list of teams",
           "either \"open\": true or \"teams\"");
  }
  const node* slots =
      FindKind(service.value, "runner_slots", node_kind::kInteger);
  const node* connections =
      FindKind(service.value, "runner_connections", node_kind::kInteger);
  if (slots != nullptr && connections != nullptr &&
      connections->integer < slots->integer) {
    Report(*connections, JoinPath(path, "runner_connections"),
           std::to_string(connections->integer) + " connections",
           "at least runner_slots, " + std::to_string(slots->integer));
  }
}

void fleet_checker::CheckReferences(const node& owner, std::string_view field,
                                    std::string_view branch,
                                    const std::string& path) {
  const node* list = FindKind(owner, field, node_kind::kList);
  if (list == nullptr) return;
  for (std::size_t i = 0; i < list->items.size(); ++i) {
    if (list->items[i].kind != node_kind::kText) continue;
    CheckReference(list->items[i], branch,
                   JoinPath(path, field) + "[" + std::to_string(i) + "]");
  }
}

void fleet_checker::CheckReference(const node& value, std::string_view branch,
                                   const std::string& path) {
  for (const node_member& member : Members(branch)) {
    if (member.name == value.text) return;
  }
  std::vector<std::string> known;
  for (const node_member& member : Members(branch)) {
    known.push_back(member.name);
  }
  std::string allowed = "a name in " + std::string(branch);
  const std::string nearest = NearestName(value.text, known);
  if (!nearest.empty()) allowed += " (did you mean \"" + nearest + "\"?)";
  Report(value, path, "unknown name \"" + value.text.substr(0, 64) + "\"",
         std::move(allowed));
}

}  // namespace radishwing::settings

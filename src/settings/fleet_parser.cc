#include "src/settings/fleet_parser.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include "src/settings/field_reader.h"
#include "src/settings/finding_order.h"
#include "src/settings/fleet_checker.h"
#include "src/settings/fleet_schema.h"
#include "src/settings/preset.h"
#include "src/settings/schema_checker.h"

namespace radishwing::settings {
namespace {

// Revision, change id and author are stored beside the text.
constexpr std::size_t kMaxStoredBytes = kMaxTextBytes - 1'000;

field_reader Reader(const node* branch, std::string_view pattern) {
  return field_reader(branch, FleetSchema(), pattern);
}

template <typename Settings>
std::map<std::string, Settings, std::less<>> ReadNamed(
    const node& root, std::string_view name, Settings (*read)(const node&)) {
  std::map<std::string, Settings, std::less<>> settings;
  const node_member* branch = root.Find(name);
  if (branch == nullptr) return settings;
  for (const node_member& member : branch->value.members) {
    settings.emplace(member.name, read(member.value));
  }
  return settings;
}

team_settings ReadTeam(const node& branch) {
  const field_reader reader = Reader(&branch, "teams.*");
  team_settings team;
  team.share = reader.Number("share");
  team.upper_limit = static_cast<std::uint32_t>(reader.Count("upper_limit"));
  if (const node* keys = reader.Find("keys")) {
    for (const node& item : keys->items) {
      const field_reader key = Reader(&item, "teams.*.keys[]");
      team.keys.push_back({key.Text("id"), key.Text("sha256")});
    }
  }
  team.allow_interactive = team.allow_long = team.allow_urgent = false;
  for (const std::string& name : reader.Texts("classes")) {
    team.allow_interactive |= name == "interactive";
    team.allow_long |= name == "long";
    team.allow_urgent |= name == "urgent";
  }
  team.when_cut_off = reader.Text("when_cut_off") == "refuse"
                          ? cut_off_policy::kRefuse
                          : cut_off_policy::kServe;
  team.cut_off_grace_seconds = reader.Count("cut_off_grace_seconds");
  return team;
}

pool_settings ReadPool(const node& branch) {
  const field_reader reader = Reader(&branch, "pools.*");
  pool_settings pool;
  pool.floor_hosts = static_cast<std::uint32_t>(reader.Count("floor_hosts"));
  pool.target_hosts = static_cast<std::uint32_t>(reader.Count("target_hosts"));
  pool.wave_hosts_max =
      static_cast<std::uint32_t>(reader.Count("wave_hosts_max"));
  pool.spare = reader.Flag("spare");
  return pool;
}

service_settings ReadService(const node& branch) {
  const field_reader reader = Reader(&branch, "services.*");
  service_settings service;
  service.pool = reader.Text("pool");
  service.open = reader.Flag("open");
  service.teams = reader.Texts("teams");
  service.runner_slots =
      static_cast<std::uint16_t>(reader.Count("runner_slots"));
  service.runner_connections =
      static_cast<std::uint16_t>(reader.Count("runner_connections"));
  service.deadline_ms = reader.Count("deadline_ms");
  service.longest_run_seconds = reader.Count("longest_run_seconds");
  service.max_body_bytes =
      static_cast<std::uint64_t>(reader.Count("max_body_bytes"));
  service.queue_limit = static_cast<std::uint32_t>(reader.Count("queue_limit"));
  service.retry_ratio = reader.Number("retry_ratio");
  const field_reader objective =
      Reader(reader.Find("objective"), "services.*.objective");
  service.objective.good_ratio = objective.Number("good_ratio");
  service.objective.latency_ms = objective.Count("latency_ms");
  return service;
}

wave_settings ReadWave(const node& branch) {
  const field_reader reader = Reader(&branch, "waves.*");
  wave_settings wave;
  wave.pools = reader.Texts("pools");
  wave.kind =
      reader.Text("kind") == "move" ? wave_kind::kMove : wave_kind::kKernel;
  const std::string state = reader.Text("state");
  if (state == "running") wave.state = wave_state::kRunning;
  if (state == "paused") wave.state = wave_state::kPaused;
  if (state == "aborted") wave.state = wave_state::kAborted;
  return wave;
}

policy_settings ReadPolicy(const node* branch, const preset& defaults) {
  const field_reader reader = Reader(branch, "policy");
  policy_settings policy = defaults.policy;
  const auto number = [&](std::string_view name, double& value) {
    if (reader.Find(name)) value = reader.Number(name);
  };
  number("weight_rollout_time", policy.weight_rollout_time);
  number("weight_share_nearness", policy.weight_share_nearness);
  number("weight_buffer_cost", policy.weight_buffer_cost);
  number("weight_moves", policy.weight_moves);
  if (reader.Find("move_budget_per_hour")) {
    policy.move_budget_per_hour =
        static_cast<std::uint32_t>(reader.Count("move_budget_per_hour"));
  }
  if (reader.Find("move_hysteresis_seconds")) {
    policy.move_hysteresis_seconds = reader.Count("move_hysteresis_seconds");
  }
  return policy;
}

fleet_settings ReadFleet(const node& root, std::uint64_t revision) {
  const field_reader top = Reader(&root, "");
  const field_reader fleet = Reader(top.Find("fleet"), "fleet");
  fleet_settings settings;
  settings.revision = revision;
  settings.name = fleet.Text("name");
  settings.identifier_retention_seconds =
      fleet.Count("identifier_retention_seconds");
  settings.teams = ReadNamed(root, "teams", ReadTeam);
  settings.pools = ReadNamed(root, "pools", ReadPool);
  settings.services = ReadNamed(root, "services", ReadService);
  settings.waves = ReadNamed(root, "waves", ReadWave);
  settings.policy =
      ReadPolicy(top.Find("policy"), FindPreset(fleet.Text("preset")));
  return settings;
}

// The store keeps the text as a JSON string, which is longer than the text.
void CheckStoredSize(const source_tree& tree, std::vector<finding>& findings) {
  if (tree.text.size() < kMaxStoredBytes / 6) return;
  const std::size_t stored =
      boost::json::serialize(boost::json::string(tree.text)).size();
  if (stored <= kMaxStoredBytes) return;
  findings.push_back(finding{
      tree.file, 0, 0, "", std::to_string(stored) + " bytes as a JSON string",
      "at most " + std::to_string(kMaxStoredBytes) + " bytes"});
}

}  // namespace

checked<fleet_settings> ParseFleetSettings(const std::string& file,
                                           std::string_view text,
                                           std::uint64_t revision) {
  checked<source_tree> parsed = ParseTree(file, text);
  if (parsed.index() == 1) return std::get<1>(std::move(parsed));
  const source_tree& tree = std::get<0>(parsed);
  std::vector<finding> findings = schema_checker(tree, FleetSchema()).Check();
  for (finding& f : fleet_checker(tree).Check()) {
    findings.push_back(std::move(f));
  }
  CheckStoredSize(tree, findings);
  if (findings.empty()) return ReadFleet(tree.root, revision);
  SortFindings(findings);
  return findings;
}

}  // namespace radishwing::settings

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

// Maximum size of the settings as an escaped JSON string. The remaining 1,000
// bytes of the stored value hold the revision, the change ID and the author.
constexpr std::size_t kMaxStoredBytes = kMaxTextBytes - 1'000;

field_reader MakeReader(const json_value* object,
                        std::string_view path_pattern) {
  return field_reader(object, FleetSchema(), path_pattern);
}

template <typename Settings>
std::map<std::string, Settings, std::less<>> ReadObjectMap(
    const json_value& root, std::string_view name,
    Settings (*read)(const json_value&)) {
  std::map<std::string, Settings, std::less<>> settings;
  const json_member* object = root.Find(name);
  if (object == nullptr) return settings;
  for (const json_member& member : object->value.members) {
    settings.emplace(member.name, read(member.value));
  }
  return settings;
}

team_settings ReadTeam(const json_value& object) {
  const field_reader reader = MakeReader(&object, "teams.*");
  team_settings team;
  team.share = reader.GetDouble("share");
  team.upper_limit = static_cast<std::uint32_t>(reader.GetInt("upper_limit"));
  if (const json_value* keys = reader.Find("keys")) {
    for (const json_value& item : keys->elements) {
      const field_reader key = MakeReader(&item, "teams.*.keys[]");
      team.keys.push_back({key.GetString("id"), key.GetString("sha256")});
    }
  }
  team.allow_interactive = team.allow_long = team.allow_urgent = false;
  for (const std::string& name : reader.GetStringList("classes")) {
    team.allow_interactive |= name == "interactive";
    team.allow_long |= name == "long";
    team.allow_urgent |= name == "urgent";
  }
  team.when_cut_off = reader.GetString("when_cut_off") == "refuse"
                          ? cut_off_policy::kRefuse
                          : cut_off_policy::kServe;
  team.cut_off_grace_seconds = reader.GetInt("cut_off_grace_seconds");
  return team;
}

pool_settings ReadPool(const json_value& object) {
  const field_reader reader = MakeReader(&object, "pools.*");
  pool_settings pool;
  pool.floor_hosts = static_cast<std::uint32_t>(reader.GetInt("floor_hosts"));
  pool.target_hosts = static_cast<std::uint32_t>(reader.GetInt("target_hosts"));
  pool.wave_hosts_max =
      static_cast<std::uint32_t>(reader.GetInt("wave_hosts_max"));
  pool.spare = reader.GetBool("spare");
  return pool;
}

service_settings ReadService(const json_value& object) {
  const field_reader reader = MakeReader(&object, "services.*");
  service_settings service;
  service.pool = reader.GetString("pool");
  service.open = reader.GetBool("open");
  service.teams = reader.GetStringList("teams");
  service.runner_slots =
      static_cast<std::uint16_t>(reader.GetInt("runner_slots"));
  service.runner_connections =
      static_cast<std::uint16_t>(reader.GetInt("runner_connections"));
  service.deadline_ms = reader.GetInt("deadline_ms");
  service.longest_run_seconds = reader.GetInt("longest_run_seconds");
  service.max_body_bytes =
      static_cast<std::uint64_t>(reader.GetInt("max_body_bytes"));
  service.queue_limit =
      static_cast<std::uint32_t>(reader.GetInt("queue_limit"));
  service.retry_ratio = reader.GetDouble("retry_ratio");
  const field_reader objective =
      MakeReader(reader.Find("objective"), "services.*.objective");
  service.objective.good_ratio = objective.GetDouble("good_ratio");
  service.objective.latency_ms = objective.GetInt("latency_ms");
  return service;
}

wave_settings ReadWave(const json_value& object) {
  const field_reader reader = MakeReader(&object, "waves.*");
  wave_settings wave;
  wave.pools = reader.GetStringList("pools");
  wave.kind = reader.GetString("kind") == "move" ? wave_kind::kMove
                                                 : wave_kind::kKernel;
  const std::string state = reader.GetString("state");
  if (state == "running") wave.state = wave_state::kRunning;
  if (state == "paused") wave.state = wave_state::kPaused;
  if (state == "aborted") wave.state = wave_state::kAborted;
  return wave;
}

policy_settings ReadPolicy(const json_value* object, const preset& defaults) {
  const field_reader reader = MakeReader(object, "policy");
  policy_settings policy = defaults.policy;
  const auto override_number = [&](std::string_view name, double& value) {
    if (reader.Find(name)) value = reader.GetDouble(name);
  };
  override_number("weight_rollout_time", policy.weight_rollout_time);
  override_number("weight_share_nearness", policy.weight_share_nearness);
  override_number("weight_buffer_cost", policy.weight_buffer_cost);
  override_number("weight_moves", policy.weight_moves);
  if (reader.Find("move_budget_per_hour")) {
    policy.move_budget_per_hour =
        static_cast<std::uint32_t>(reader.GetInt("move_budget_per_hour"));
  }
  if (reader.Find("move_hysteresis_seconds")) {
    policy.move_hysteresis_seconds = reader.GetInt("move_hysteresis_seconds");
  }
  return policy;
}

fleet_settings ReadFleet(const json_value& root, std::uint64_t revision) {
  const field_reader root_reader = MakeReader(&root, "");
  const field_reader fleet = MakeReader(root_reader.Find("fleet"), "fleet");
  fleet_settings settings;
  settings.revision = revision;
  settings.name = fleet.GetString("name");
  settings.identifier_retention_seconds =
      fleet.GetInt("identifier_retention_seconds");
  settings.teams = ReadObjectMap(root, "teams", ReadTeam);
  settings.pools = ReadObjectMap(root, "pools", ReadPool);
  settings.services = ReadObjectMap(root, "services", ReadService);
  settings.waves = ReadObjectMap(root, "waves", ReadWave);
  settings.policy = ReadPolicy(root_reader.Find("policy"),
                               FindPreset(fleet.GetString("preset")));
  return settings;
}

// Adds a finding if the text, escaped as a JSON string, is too large for the
// store. Escaping makes a byte at most 6 bytes long (\uXXXX), so a text shorter
// than a sixth of the limit needs no check.
void CheckStoredSize(const json_document& document,
                     std::vector<finding>& findings) {
  if (document.text.size() < kMaxStoredBytes / 6) return;
  const std::size_t stored =
      boost::json::serialize(boost::json::string(document.text)).size();
  if (stored <= kMaxStoredBytes) return;
  findings.push_back(
      finding{document.file, 0, 0, "",
              std::to_string(stored) + " bytes as a JSON string",
              "at most " + std::to_string(kMaxStoredBytes) + " bytes"});
}

}  // namespace

parse_result<fleet_settings> ParseFleetSettings(const std::string& file,
                                                std::string_view text,
                                                std::uint64_t revision) {
  parse_result<json_document> parsed = ParseJsonDocument(file, text);
  if (parsed.index() == 1) return std::get<1>(std::move(parsed));
  const json_document& document = std::get<0>(parsed);
  std::vector<finding> findings =
      schema_checker(document, FleetSchema()).CollectFindings();
  for (finding& f : fleet_checker(document).CollectFindings()) {
    findings.push_back(std::move(f));
  }
  CheckStoredSize(document, findings);
  if (findings.empty()) return ReadFleet(document.root, revision);
  SortFindings(findings);
  return findings;
}

}  // namespace radishwing::settings

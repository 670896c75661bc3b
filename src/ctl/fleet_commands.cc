#include "src/ctl/fleet_commands.h"

#include <boost/json.hpp>
#include <map>

#include "platform/config_codec.h"
#include "platform/runner_codec.h"
#include "platform/store_keys.h"
#include "src/ctl/text_table.h"
#include "src/node/job_record_codec.h"
#include "src/node/member_table.h"
#include "src/node/record_keys.h"
#include "src/node/term_record.h"
#include "src/node/wave_record.h"
#include "src/sched/progress_codec.h"

namespace radishwing::ctl {
namespace json = boost::json;
namespace {

result<fleet::fleet_config> ReadConfig(const command_context& context) {
  auto item = context.store.get(std::string(platform::kConfigKey));
  if (!Ok(item)) return Error(item);
  if (Value(item).revision == 0) {
    return failure{failure_kind::kNotFound, "no configuration is stored yet"};
  }
  return platform::DecodeConfig(Value(item).value);
}

json::object ResourcesToJson(const fleet::resources& amount) {
  return {{"cpu_millis", amount.cpu_millicores},
          {"memory_mb", amount.memory_mb},
          {"accelerators", amount.accelerators}};
}

}  // namespace

exit_code ShowStatus(const command_context& context) {
  auto items = context.store.list(std::string(node::kMemberPrefix));
  if (!Ok(items)) return ReportFailure(context, Error(items));
  auto term = context.store.get(node::TermKey());
  if (!Ok(term)) return ReportFailure(context, Error(term));
  node::member_table members;
  members.Reset(Value(items));
  const node::leader_record& leader = members.Leader();
  PrintObject(
      *context.out,
      json::object{{"leader", leader.node.empty() ? "none" : leader.node},
                   {"address", leader.address},
                   {"fence", leader.fencing_token},
                   {"term", node::DecodeTerm(Value(term).value).term}});
  json::array rows;
  for (const node::member& member : members.Members()) {
    rows.push_back(json::object{{"node", member.name},
                                {"address", member.address},
                                {"cpu_millis", member.cpu_millicores}});
  }
  static constexpr table_column kColumns[] = {
      {"NODE", "node"}, {"ADDRESS", "address"}, {"CPU_MILLIS", "cpu_millis"}};
  PrintTable(*context.out, rows, kColumns);
  return exit_code::kSuccess;
}

exit_code ShowPools(const command_context& context) {
  auto config = ReadConfig(context);
  if (!Ok(config)) return ReportFailure(context, Error(config));
  auto items = context.store.list(std::string(platform::kRunnerKeyPrefix));
  if (!Ok(items)) return ReportFailure(context, Error(items));
  struct pool_summary {
    int runners = 0;
    int draining = 0;
    fleet::resources total_capacity;
  };
  std::map<std::string, pool_summary> pools;
  int undecodable_runners = 0;
  for (const store::store_item& item : Value(items)) {
    const auto runner = platform::DecodeRunnerRecord(
        item.key.substr(platform::kRunnerKeyPrefix.size()), item.value);
    if (!runner) {
      ++undecodable_runners;
      continue;
    }
    pool_summary& pool = pools[runner->pool];
    ++pool.runners;
    if (runner->draining) ++pool.draining;
    pool.total_capacity += runner->capacity;
  }
  json::array rows;
  for (const fleet::pool_config& pool : Value(config).pools) {
    const pool_summary& summary = pools[pool.name];
    rows.push_back(
        json::object{{"pool", pool.name},
                     {"standby", pool.standby},
                     {"runners", summary.runners},
                     {"draining", summary.draining},
                     {"room", ResourcesToJson(summary.total_capacity)}});
  }
  static constexpr table_column kColumns[] = {{"POOL", "pool"},
                                              {"STANDBY", "standby"},
                                              {"RUNNERS", "runners"},
                                              {"DRAINING", "draining"},
                                              {"ROOM", "room"}};
  PrintTable(*context.out, rows, kColumns);
  if (undecodable_runners > 0) {
    *context.err << "radishwingctl: " << undecodable_runners
                 << " runner entries could not be decoded\n";
  }
  return exit_code::kSuccess;
}

exit_code ShowTeams(const command_context& context) {
  auto config = ReadConfig(context);
  if (!Ok(config)) return ReportFailure(context, Error(config));
  json::array rows;
  for (const fleet::team_config& team : Value(config).teams) {
    rows.push_back(json::object{{"team", team.name},
                                {"weight", team.weight},
                                {"keys", team.keys.size()},
                                {"cap", ResourcesToJson(team.resource_limit)}});
  }
  static constexpr table_column kColumns[] = {
      {"TEAM", "team"}, {"WEIGHT", "weight"}, {"KEYS", "keys"}, {"CAP", "cap"}};
  PrintTable(*context.out, rows, kColumns);
  return exit_code::kSuccess;
}

exit_code ShowWaves(const command_context& context) {
  auto items = context.store.list(std::string(platform::kWaveRequestKeyPrefix));
  if (!Ok(items)) return ReportFailure(context, Error(items));
  json::array rows;
  for (const store::store_item& item : Value(items)) {
    const auto wave = platform::DecodeWaveRequest(item.value);
    if (!Ok(wave)) return ReportFailure(context, Error(wave));
    auto begun = context.store.get(node::WaveKey(Value(wave).number));
    if (!Ok(begun)) return ReportFailure(context, Error(begun));
    rows.push_back(json::object{
        {"wave", Value(wave).number},
        {"hosts", Value(wave).hosts.size()},
        {"begun",
         node::DecodeWaveRecord(Value(begun).value).started_hosts.size()},
        {"max_down", Value(wave).max_down},
        {"duration_ms", Value(wave).time_limit_ms}});
  }
  static constexpr table_column kColumns[] = {{"WAVE", "wave"},
                                              {"HOSTS", "hosts"},
                                              {"BEGUN", "begun"},
                                              {"MAX_DOWN", "max_down"},
                                              {"DURATION_MS", "duration_ms"}};
  PrintTable(*context.out, rows, kColumns);
  return exit_code::kSuccess;
}

exit_code ShowJobs(const command_context& context) {
  auto jobs = context.store.list(std::string(node::kJobPrefix));
  if (!Ok(jobs)) return ReportFailure(context, Error(jobs));
  auto progress = context.store.list(std::string(node::kProgressPrefix));
  if (!Ok(progress)) return ReportFailure(context, Error(progress));
  std::map<std::string, int> job_counts;
  int accepted_jobs = 0;
  for (const store::store_item& item : Value(jobs)) {
    if (!item.key.ends_with(node::kCancelSuffix)) ++accepted_jobs;
  }
  for (const store::store_item& item : Value(progress)) {
    ++job_counts[std::string(
        sched::JobPhaseName(sched::DecodePhase(item.value)))];
  }
  // A job without a progress record counts as pending.
  const int jobs_with_progress = static_cast<int>(Value(progress).size());
  job_counts["pending"] +=
      accepted_jobs - std::min(accepted_jobs, jobs_with_progress);
  json::object shown;
  for (const auto& [state, count] : job_counts) shown[state] = count;
  PrintObject(*context.out, shown);
  return exit_code::kSuccess;
}

exit_code ShowJob(const command_context& context, const std::string& job_id) {
  auto item = context.store.get(node::JobKey(job_id));
  if (!Ok(item)) return ReportFailure(context, Error(item));
  if (Value(item).revision == 0) {
    return ReportFailure(context,
                         {failure_kind::kNotFound, "no job " + job_id});
  }
  auto job = node::DecodeJobRecord(job_id, Value(item).value);
  if (!Ok(job)) return ReportFailure(context, Error(job));
  auto cancel = context.store.get(node::CancelKey(job_id));
  if (!Ok(cancel)) return ReportFailure(context, Error(cancel));
  auto progress = context.store.get(node::ProgressKey(job_id));
  if (!Ok(progress)) return ReportFailure(context, Error(progress));
  const fleet::job_record& record = Value(job).record;
  json::object shown{{"job", job_id},
                     {"queue", record.queue},
                     {"pool", record.pool},
                     {"team", record.team},
                     {"steps", record.request.steps.size()},
                     {"accepted_unix_ms", record.accepted_unix_ms},
                     {"cancelled", Value(cancel).revision > 0}};
  if (Value(progress).revision == 0) {
    shown["state"] = "pending";
  } else {
    shown["state"] =
        sched::JobPhaseName(sched::DecodePhase(Value(progress).value));
    shown["progress"] = Value(progress).value;
  }
  PrintObject(*context.out, shown);
  return exit_code::kSuccess;
}

}  // namespace radishwing::ctl

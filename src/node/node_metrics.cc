#include "src/node/node_metrics.h"

#include <prometheus/text_serializer.h>

namespace radishwing::node {
namespace {

// Bucket bounds in seconds, from the store's latency of 4 ms up to three times
// the longest latency objective of a job.
const prometheus::Histogram::BucketBoundaries kDurationBuckets{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16};

prometheus::Family<prometheus::Counter>& CounterFamily(
    prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& HistogramFamily(
    prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& SingleGauge(prometheus::Registry& registry, const char* name,
                               const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

double ToSeconds(millis time) { return static_cast<double>(time) / 1000; }

}  // namespace

node_metrics::node_metrics(std::string_view node_name, millis started_unix_ms)
    : client_requests_(CounterFamily(registry_,
                                     "radishwing_node_requests_total",
                                     "Calls of callers by kind and status")),
      client_request_seconds_(HistogramFamily(registry_,
                                              "radishwing_node_request_seconds",
                                              "Time to answer a caller")),
      store_calls_(
          CounterFamily(registry_, "radishwing_node_store_calls_total",
                        "Direct calls to the store by kind and outcome")),
      store_call_seconds_(
          HistogramFamily(registry_, "radishwing_node_store_seconds",
                          "Time of a direct call to the store but watches")
              .Add({}, kDurationBuckets)),
      task_start_age_seconds_(
          HistogramFamily(registry_, "radishwing_node_task_start_age_seconds",
                          "Age of the job when one of its tasks is started")
              .Add({}, kDurationBuckets)),
      run_ends_(CounterFamily(registry_, "radishwing_node_task_ends_total",
                              "Runs of tasks by how they ended")),
      job_ends_(CounterFamily(registry_, "radishwing_node_job_ends_total",
                              "Jobs by final state")),
      job_age_seconds_(HistogramFamily(registry_, "radishwing_node_job_seconds",
                                       "Age of a job when it ends")
                           .Add({}, kDurationBuckets)),
      orders_(CounterFamily(registry_, "radishwing_node_orders_total",
                            "Orders to runners and hosts by kind and outcome")),
      advice_seconds_(
          HistogramFamily(registry_, "radishwing_node_advice_seconds",
                          "Time of a query to the advice service by outcome")),
      removals_(CounterFamily(registry_, "radishwing_node_removals_total",
                              "Removals of expired keys by outcome")),
      merged_records_(
          CounterFamily(registry_, "radishwing_node_merged_records_total",
                        "Progress records merged into the leader's state")
              .Add({})),
      refused_records_(
          CounterFamily(registry_, "radishwing_node_refused_records_total",
                        "Progress records that the store refuses")),
      runs_not_listed_(
          CounterFamily(registry_, "radishwing_node_runs_not_listed_total",
                        "Runs that held room for long without being listed")),
      ignored_runner_entries_(
          CounterFamily(registry_,
                        "radishwing_node_ignored_runner_entries_total",
                        "Invalid entries of runners in the store")
              .Add({})),
      takeover_seconds_(
          HistogramFamily(registry_, "radishwing_node_takeover_seconds",
                          "Time from leadership to the first scheduling")
              .Add({}, kDurationBuckets)),
      submission_outcomes_(
          CounterFamily(registry_, "radishwing_requests_total",
                        "Submissions and jobs by queue, team and outcome")),
      place_waits_(
          CounterFamily(registry_, "radishwing_node_place_waits_total",
                        "Tasks that waited for their place, by outcome")),
      host_moves_(
          CounterFamily(registry_, "radishwing_host_moves_total",
                        "Moves of hosts into a pool that were ordered")),
      planned_moves_(CounterFamily(registry_,
                                   "radishwing_node_planned_moves_total",
                                   "Planned moves by target pool and reason")),
      blocked_core_seconds_(
          prometheus::BuildGauge()
              .Name("radishwing_node_pool_blocked_core_seconds")
              .Help("Processor time of tasks without room by pool and kind")
              .Register(registry_)),
      pool_hosts_(prometheus::BuildGauge()
                      .Name("radishwing_pool_hosts")
                      .Help("Hosts by pool and state, from the leader")
                      .Register(registry_)),
      wave_hosts_(prometheus::BuildGauge()
                      .Name("radishwing_wave_hosts")
                      .Help("Hosts by wave and progress, from the leader")
                      .Register(registry_)),
      hosts_without_tasks_(
          prometheus::BuildGauge()
              .Name("radishwing_node_hosts_without_tasks")
              .Help("Hosts that are up and get no tasks, by reason")
              .Register(registry_)),
      is_leading_(SingleGauge(registry_, "radishwing_node_leading",
                              "1 while this node leads the shard")),
      config_version_(SingleGauge(registry_, "radishwing_node_config_version",
                                  "Version of the configuration in force")),
      config_age_seconds_(SingleGauge(
          registry_, "radishwing_node_config_age_seconds",
          "Time since the configuration was known to be the newest")),
      evacuated_data_centres_(
          SingleGauge(registry_, "radishwing_node_evacuated_data_centres",
                      "Data centres that the operator evacuates")),
      runner_counts_(prometheus::BuildGauge()
                         .Name("radishwing_node_runners")
                         .Help("Runners by whether they answer")
                         .Register(registry_)),
      oldest_poll_seconds_(
          SingleGauge(registry_, "radishwing_node_oldest_poll_seconds",
                      "Longest time since a poll of a runner was sent")),
      unanswered_starts_(SingleGauge(registry_,
                                     "radishwing_node_unknown_starts",
                                     "Starts that nobody has answered")),
      team_shares_(prometheus::BuildGauge()
                       .Name("radishwing_team_share")
                       .Help("Part of a pool by team, used and due")
                       .Register(registry_)),
      team_waiting_(prometheus::BuildGauge()
                        .Name("radishwing_team_waiting_core_seconds")
                        .Help("Batch work by pool and team without room")
                        .Register(registry_)) {
  prometheus::BuildGauge()
      .Name("radishwing_process_start_seconds")
      .Help("Unix time of the process's start")
      .Register(registry_)
      .Add({{"program", "radishwing-node"}, {"host", std::string(node_name)}})
      .Set(ToSeconds(started_unix_ms));
}

void node_metrics::CountRequest(std::string_view call, unsigned status,
                                millis took) {
  client_requests_
      .Add({{"call", std::string(call)}, {"status", std::to_string(status)}})
      .Increment();
  client_request_seconds_.Add({{"call", std::string(call)}}, kDurationBuckets)
      .Observe(ToSeconds(took));
}

void node_metrics::CountStoreCall(std::string_view call,
                                  std::string_view outcome, millis took) {
  store_calls_
      .Add({{"call", std::string(call)}, {"outcome", std::string(outcome)}})
      .Increment();
  if (call != "watch") store_call_seconds_.Observe(ToSeconds(took));
}

void node_metrics::RecordTaskStart(millis job_age) {
  task_start_age_seconds_.Observe(ToSeconds(job_age));
}

void node_metrics::CountRunEnd(std::string_view how) {
  run_ends_.Add({{"how", std::string(how)}}).Increment();
}

void node_metrics::CountJobEnd(std::string_view state, millis age) {
  job_ends_.Add({{"state", std::string(state)}}).Increment();
  job_age_seconds_.Observe(ToSeconds(age));
}

void node_metrics::CountSubmissionOutcome(std::string_view queue,
                                          std::string_view team,
                                          std::string_view outcome) {
  submission_outcomes_
      .Add({{"service", std::string(queue)},
            {"team", team.empty() ? "-" : std::string(team)},
            {"outcome", std::string(outcome)}})
      .Increment();
}

void node_metrics::CountPlaceWaits(int near_tasks, int away_tasks) {
  if (near_tasks > 0)
    place_waits_.Add({{"outcome", "paid"}}).Increment(near_tasks);
  if (away_tasks > 0) {
    place_waits_.Add({{"outcome", "given_up"}}).Increment(away_tasks);
  }
}

void node_metrics::CountHostMove(std::string_view target_pool) {
  host_moves_.Add({{"pool", std::string(target_pool)}}).Increment();
}

void node_metrics::CountPlannedMove(std::string_view target_pool,
                                    std::string_view reason) {
  planned_moves_
      .Add(
          {{"pool", std::string(target_pool)}, {"reason", std::string(reason)}})
      .Increment();
}

void node_metrics::SetBlockedCoreSeconds(std::string_view pool,
                                         std::string_view kind,
                                         double core_seconds) {
  blocked_core_seconds_
      .Add({{"pool", std::string(pool)}, {"kind", std::string(kind)}})
      .Set(core_seconds);
}

void node_metrics::SetPoolHosts(std::string_view pool, std::string_view state,
                                int hosts) {
  pool_hosts_.Add({{"pool", std::string(pool)}, {"state", std::string(state)}})
      .Set(hosts);
}

void node_metrics::SetWaveHosts(std::string_view wave, std::string_view state,
                                int hosts) {
  wave_hosts_.Add({{"wave", std::string(wave)}, {"state", std::string(state)}})
      .Set(hosts);
}

void node_metrics::SetHostsWithoutTasks(std::string_view reason, int hosts) {
  hosts_without_tasks_.Add({{"reason", std::string(reason)}}).Set(hosts);
}

void node_metrics::CountOrder(std::string_view kind, std::string_view outcome) {
  orders_.Add({{"kind", std::string(kind)}, {"outcome", std::string(outcome)}})
      .Increment();
}

void node_metrics::RecordAdvice(std::string_view outcome, millis took) {
  advice_seconds_.Add({{"outcome", std::string(outcome)}}, kDurationBuckets)
      .Observe(ToSeconds(took));
}

void node_metrics::CountRemoval(std::string_view outcome) {
  removals_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void node_metrics::CountMergedRecord() { merged_records_.Increment(); }

void node_metrics::CountRefusedRecord(std::string_view why) {
  refused_records_.Add({{"why", std::string(why)}}).Increment();
}

void node_metrics::CountRunNotListed(std::string_view awaits) {
  runs_not_listed_.Add({{"awaits", std::string(awaits)}}).Increment();
}

void node_metrics::CountIgnoredRunnerEntry() {
  ignored_runner_entries_.Increment();
}

void node_metrics::RecordTakeover(millis took) {
  takeover_seconds_.Observe(ToSeconds(took));
}

void node_metrics::SetLeading(bool leading) {
  is_leading_.Set(leading ? 1 : 0);
}

void node_metrics::SetConfigVersion(std::uint64_t version) {
  config_version_.Set(static_cast<double>(version));
}

void node_metrics::SetConfigAge(millis age) {
  config_age_seconds_.Set(ToSeconds(age));
}

void node_metrics::SetEvacuatedDataCentres(std::size_t count) {
  evacuated_data_centres_.Set(static_cast<double>(count));
}

void node_metrics::SetRunnerCounts(std::size_t reachable,
                                   std::size_t unreachable) {
  runner_counts_.Add({{"state", "reachable"}})
      .Set(static_cast<double>(reachable));
  runner_counts_.Add({{"state", "silent"}})
      .Set(static_cast<double>(unreachable));
}

void node_metrics::SetOldestPollAge(millis age) {
  oldest_poll_seconds_.Set(ToSeconds(age));
}

void node_metrics::SetUnansweredStarts(std::size_t count) {
  unanswered_starts_.Set(static_cast<double>(count));
}

void node_metrics::SetTeamShares(
    const std::vector<sched::share_report>& shares) {
  constexpr double kMillisPerSecond = 1000;
  for (prometheus::Gauge* gauge : team_gauges_) gauge->Set(0);
  const auto set = [&](prometheus::Gauge& gauge, double value) {
    gauge.Set(value);
    team_gauges_.insert(&gauge);
  };
  for (const sched::share_report& share : shares) {
    prometheus::Labels labels{{"pool", share.pool}, {"team", share.team}};
    set(team_waiting_.Add(labels), share.waiting_core_ms / kMillisPerSecond);
    labels["kind"] = "used";
    set(team_shares_.Add(labels), share.used_share);
    labels["kind"] = "due";
    set(team_shares_.Add(labels), share.due_share);
  }
}

std::string node_metrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace radishwing::node

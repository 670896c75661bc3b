#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "src/node/traffic_counters.h"
#include "src/sched/share_report.h"

namespace radishwing::node {

/// Prometheus metrics of one node.
class node_metrics {
 public:
  /// `started_unix_ms` is the time at which the process started.
  node_metrics(std::string_view node_name, millis started_unix_ms);

  /// Counts a client request by its kind, `call`, and the HTTP status of the
  /// response. Records the response time, `took`.
  void CountRequest(std::string_view call, unsigned status, millis took);
  /// Counts a call that this node sent to the store itself, not through a peer,
  /// by its kind, `call`, and its outcome. Records the response time, `took`,
  /// unless it is a watch call.
  void CountStoreCall(std::string_view call, std::string_view outcome,
                      millis took);
  /// Records the age of a job at the start of one of its tasks.
  void RecordTaskStart(millis job_age);
  /// Counts a run that has ended. `how` names the kind of end; "lost" if no
  /// runner reported the end.
  void CountRunEnd(std::string_view how);
  /// Counts a finished job by its final state, and records the time since the
  /// job was accepted, `age`.
  void CountJobEnd(std::string_view state, millis age);
  /// Counts a finished job of `queue` by `outcome`. Also counts submissions to
  /// `queue` that were refused or have an unknown outcome. `team` is empty if
  /// the submission had no valid API key.
  void CountSubmissionOutcome(std::string_view queue, std::string_view team,
                              std::string_view outcome);
  /// Counts the tasks of a step that has waited for its place: those that
  /// started there and those that started elsewhere.
  void CountPlaceWaits(int near_tasks, int away_tasks);
  /// Counts an accepted order to move a host into `target_pool`.
  void CountHostMove(std::string_view target_pool);
  /// Counts a planned move of a host into `target_pool`, whether or not the
  /// host service accepts the order.
  void CountPlannedMove(std::string_view target_pool, std::string_view reason);
  /// Sets the processor time of the pool's tasks that no runner has room for.
  /// `kind` tells work that can end in time from late work.
  void SetBlockedCoreSeconds(std::string_view pool, std::string_view kind,
                             double core_seconds);
  /// Sets the number of hosts of a pool that are in `state`.
  void SetPoolHosts(std::string_view pool, std::string_view state, int hosts);
  /// Sets the number of hosts of a maintenance wave that are in `state`.
  void SetWaveHosts(std::string_view wave, std::string_view state, int hosts);
  /// Sets the number of hosts that get no tasks for `reason`.
  void SetHostsWithoutTasks(std::string_view reason, int hosts);
  /// Counts an order to a runner or a host.
  void CountOrder(std::string_view kind, std::string_view outcome);
  /// Records the time that a query to the advice service took, by its outcome.
  void RecordAdvice(std::string_view outcome, millis took);
  /// Counts a commit that removes expired keys from the store, by its outcome.
  void CountRemoval(std::string_view outcome);
  /// Counts a progress record in the store that was merged into the leader's
  /// state of the job.
  void CountMergedRecord();
  /// Counts a progress record that the store refuses, by the reason.
  void CountRefusedRecord(std::string_view why);
  /// Counts a run that has held room for long although its runner does not list
  /// it, by what it waits for.
  void CountRunNotListed(std::string_view awaits);
  /// Counts an invalid entry of a runner in the store.
  void CountIgnoredRunnerEntry();
  /// Records the time from the election until the leader was ready, `took`.
  void RecordTakeover(millis took);
  /// Sets whether this node leads the shard.
  void SetLeading(bool leading);
  /// Sets the version of the configuration that this node uses.
  void SetConfigVersion(std::uint64_t version);
  /// Sets the time since this node's configuration was last known to be the
  /// newest version.
  void SetConfigAge(millis age);
  /// Sets the number of data centres that the operator evacuates.
  void SetEvacuatedDataCentres(std::size_t count);
  /// Sets the numbers of reachable and unreachable runners.
  void SetRunnerCounts(std::size_t reachable, std::size_t unreachable);
  /// Sets the time since the poll of a runner that was sent the longest ago.
  void SetOldestPollAge(millis age);
  /// Sets the number of start orders whose outcome is unknown.
  void SetUnansweredStarts(std::size_t count);

  /// Sets the teams' shares of the pools. Shares that are missing become 0.
  void SetTeamShares(const std::vector<sched::share_report>& shares);

  /// Counters of the bytes that this node sends and receives.
  traffic_counters& Traffic() { return traffic_; }

  /// Returns all metrics in the Prometheus text format.
  std::string Serialize() const;

 private:
  prometheus::Registry registry_;
  traffic_counters traffic_{registry_};
  prometheus::Family<prometheus::Counter>& client_requests_;
  prometheus::Family<prometheus::Histogram>& client_request_seconds_;
  prometheus::Family<prometheus::Counter>& store_calls_;
  prometheus::Histogram& store_call_seconds_;
  prometheus::Histogram& task_start_age_seconds_;
  prometheus::Family<prometheus::Counter>& run_ends_;
  prometheus::Family<prometheus::Counter>& job_ends_;
  prometheus::Histogram& job_age_seconds_;
  prometheus::Family<prometheus::Counter>& orders_;
  prometheus::Family<prometheus::Histogram>& advice_seconds_;
  prometheus::Family<prometheus::Counter>& removals_;
  prometheus::Counter& merged_records_;
  prometheus::Family<prometheus::Counter>& refused_records_;
  prometheus::Family<prometheus::Counter>& runs_not_listed_;
  prometheus::Counter& ignored_runner_entries_;
  prometheus::Histogram& takeover_seconds_;
  prometheus::Family<prometheus::Counter>& submission_outcomes_;
  prometheus::Family<prometheus::Counter>& place_waits_;
  prometheus::Family<prometheus::Counter>& host_moves_;
  prometheus::Family<prometheus::Counter>& planned_moves_;
  prometheus::Family<prometheus::Gauge>& blocked_core_seconds_;
  prometheus::Family<prometheus::Gauge>& pool_hosts_;
  prometheus::Family<prometheus::Gauge>& wave_hosts_;
  prometheus::Family<prometheus::Gauge>& hosts_without_tasks_;
  prometheus::Gauge& is_leading_;
  prometheus::Gauge& config_version_;
  prometheus::Gauge& config_age_seconds_;
  prometheus::Gauge& evacuated_data_centres_;
  prometheus::Family<prometheus::Gauge>& runner_counts_;
  prometheus::Gauge& oldest_poll_seconds_;
  prometheus::Gauge& unanswered_starts_;
  prometheus::Family<prometheus::Gauge>& team_shares_;
  prometheus::Family<prometheus::Gauge>& team_waiting_;
  /// Gauges of `team_shares_` and `team_waiting_` that were ever set.
  std::set<prometheus::Gauge*> team_gauges_;
};

}  // namespace radishwing::node

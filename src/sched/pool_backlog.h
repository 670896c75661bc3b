#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "src/fleet/job_request.h"
#include "src/fleet/resources.h"
#include "src/sched/pool_planner.h"

namespace radishwing::sched {

/// Largest amount of work, capacity or time in a summary. Sums and small
/// multiples of such amounts stay exact.
inline constexpr std::int64_t kMaxBacklogAmount = 1'000'000'000'000'000;

/// Rounds an amount to a whole number in the range from `minimum` to
/// kMaxBacklogAmount; one that is not a number counts as 0.
std::int64_t RoundedAmount(double amount, double minimum = 0);

/// Number of ranges into which times that jobs can wait are divided.
inline constexpr std::size_t kSlackSteps = 8;

/// Returns the number of the range of a time that a job can wait, at least 0:
/// up to 250 ms, then up to twice as much each, the last without a bound.
std::size_t SlackIndex(double slack_ms);

/// A team's queues of one priority in a pool. Teams share a pool by weight
/// within a priority.
struct backlog_claim {
  std::string team;  ///< Name of the team; empty for public queues.
  int priority = 0;  ///< Priority of the queues; 0 is the highest.
  friend auto operator<=>(const backlog_claim&, const backlog_claim&) = default;
};

/// Batch work of one claim in a pool. Work is counted in effective millicores,
/// see EffectiveMillicores(), and in core-milliseconds of these.
struct team_backlog {
  backlog_claim claim;
  double weight = 1;              ///< Weight of the team.
  double used_millicores = 0;     ///< Used by running tasks.
  double waiting_millicores = 0;  ///< Needed by ready tasks that do not run.
  /// Work of ready tasks that wait, of jobs that can still meet their
  /// objective, by the time that they can wait until then, see SlackIndex().
  std::array<double, kSlackSteps> feasible_core_ms{};
  /// The same of late jobs that still have some value.
  double late_core_ms = 0;
  /// Work of tasks of either kind of job that wait for an earlier step.
  double blocked_core_ms = 0;
  /// Work of refused jobs that are expected to be submitted again.
  double returning_core_ms = 0;
  /// The part of `returning_core_ms` that is expected within a second.
  double due_core_ms = 0;
  /// Most that the team may use in this pool under its resource limit, given
  /// its use elsewhere; negative: no limit.
  double limit_millicores = -1;

  /// Returns all work that waits.
  double WaitingCoreMs() const;
  /// Returns the work of ready tasks of jobs that can meet their objective.
  double FeasibleCoreMs() const;
  /// Returns the work of jobs that can meet their objective and have to start
  /// before a job that can wait for `slack_ms`.
  double FeasibleCoreMsBefore(double slack_ms) const;
};

/// Ratio of actual to estimated run times of a queue's tasks.
struct queue_run_times {
  std::string queue;
  double mean_ratio = 1;
  double spread = 0;  ///< Standard deviation of the ratio.
};

/// Capacity that a pool may get later.
struct capacity_arrival {
  millis in_ms = 0;  ///< Time until it accepts tasks.
  double millicores = 0;
};

/// Capacity of a pool and the batch work that waits for it.
struct pool_backlog {
  std::string pool;
  fleet::resources capacity;  ///< Of the runners that accept tasks.
  /// Effective millicores of the pool that batch tasks can use: the capacity
  /// without what long-running tasks use.
  double room_millicores = 0;
  /// Hosts that are moving into the pool, or may do so, by their arrival.
  std::vector<capacity_arrival> arrivals;
  std::vector<team_backlog> teams;
  std::vector<queue_run_times> queues;
};

/// Backlogs of the shard's pools, as the leader publishes them. A pool without
/// a backlog is missing.
struct backlog_summary {
  std::uint64_t fencing_token = 0;  ///< Of the leader.
  std::uint64_t sequence = 0;  ///< Increases with each summary of the leader.
  /// Revision of the store that the leader had seen.
  std::uint64_t store_revision = 0;
  millis age_ms = 0;        ///< Age of the summary when it was sent.
  std::uint64_t nodes = 1;  ///< Number of nodes that take submissions.
  /// False while runners have not listed their runs to a new leader, so that
  /// capacities are too small.
  bool complete = true;
  std::vector<pool_backlog> pools;
};

/// Returns the processor capacity that corresponds to the dominant resource of
/// `needs`: the one of which `needs` takes the largest part of `capacity`.
double EffectiveMillicores(const fleet::resources& needs,
                           const fleet::resources& capacity);

/// Returns the work of a job by its caller's estimates, in core-milliseconds.
double EstimatedCoreMs(const fleet::job_request& request,
                       const fleet::resources& capacity);

/// Adds to each pool of `summary` the capacity of the hosts that move into it,
/// of the empty hosts of other pools, which may do so at once, and of the other
/// pools with a backlog, whose hosts may do so when the backlog is done. A move
/// takes `move_ms`.
void AddArrivingHosts(std::span<const pool_host> hosts, millis move_ms,
                      backlog_summary& summary);

/// Returns the entry of `claim`, or null.
const team_backlog* FindClaim(const pool_backlog& pool,
                              const backlog_claim& claim);

}  // namespace radishwing::sched

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/job_record.h"
#include "src/sched/pool_backlog.h"

namespace radishwing::sched {

/// Multiple of its objective after which a job that ends has no value.
inline constexpr int kValueLostFactor = 3;
/// Longest time after which a caller is told to submit a job again. The guard
/// of the refused job outlives it, see refusal_guard.
inline constexpr int kMaxRetryAfterSeconds = 30;

/// What limits a team whose job is refused.
enum class refusal_reason {
  kPoolFull,   ///< The team's share of a pool that is full.
  kTeamLimit,  ///< The team's resource limit.
};

/// Returns the name of a reason, for callers and logs.
std::string_view RefusalReasonName(refusal_reason reason);

/// Whether to accept a submitted job.
struct admission_decision {
  bool accepted = true;
  refusal_reason reason = refusal_reason::kPoolFull;  ///< If not accepted.
  int retry_after_s = 0;                              ///< If not accepted.
  millis forecast_ms = 0;     ///< Forecast time from now to the job's end.
  millis summary_age_ms = 0;  ///< Age of the backlog summary that was used.
};

/// Refused work of one claim in a pool that may be submitted again.
struct returning_work {
  std::string pool;
  backlog_claim claim;
  double core_ms = 0;
  /// Mean time until the callers submit the jobs again, by work.
  millis due_in_ms = 0;
};

/// Decides at a node whether a submitted job can still be of use, from the
/// leader's backlog summaries and from what the node itself has decided since.
/// It refuses a job only if the job would end after all of its value is lost
/// even if no further jobs arrived. Long-running and scheduled jobs are always
/// accepted. Performs no I/O; all times are readings of one monotonic clock.
class admission_policy {
 public:
  /// Applies a summary that arrived at `now`. Returns false if it is older than
  /// the current one.
  bool ApplySummary(backlog_summary summary, millis now);
  /// Records that the leader answered without a newer summary.
  void RecordContact() { failed_since_ = -1; }
  /// Records that a contact with the leader failed at `now`. Only then does a
  /// summary become an old one: a quiet node may have had none for a long time.
  void RecordFailedContact(millis now) {
    if (failed_since_ < 0) failed_since_ = now;
  }

  /// Decides about `job`, whose request is decoded. `weight` is the weight of
  /// its team. `returning` is true if the job was refused before and its caller
  /// has waited as long as it was told to.
  admission_decision Decide(const fleet::job_record& job, double weight,
                            bool returning, millis now) const;
  /// Records that this node accepts the job.
  void RecordAccepted(const fleet::job_record& job, millis now);
  /// Records that this node refused the job for the first time.
  void RecordRefused(const fleet::job_record& job,
                     const admission_decision& decision);
  /// Adds refused work that the leader does not know of yet.
  void AddRefusedWork(const returning_work& work);
  /// Returns the work refused since the previous call, for the leader.
  std::vector<returning_work> TakeRefusedWork();
  /// Returns true if refused work has not been taken.
  bool HasRefusedWork() const { return !refused_.empty(); }

  /// Returns true if the newest summary has a backlog.
  bool HasBacklog() const { return !summary_.pools.empty(); }
  /// Returns true if the newest summary has to be renewed before a decision.
  bool NeedsSummary(millis now) const;
  /// Returns the age of the newest summary, or a large value if there is none.
  millis SummaryAge(millis now) const;
  std::uint64_t FencingToken() const { return summary_.fencing_token; }
  std::uint64_t Sequence() const { return summary_.sequence; }
  /// Returns the number of nodes that take submissions.
  std::uint64_t NodeCount() const { return summary_.nodes; }

 private:
  using pool_claim = std::pair<std::string, backlog_claim>;

  /// Returns the entry of a pool for a decision, or null if nothing shows that
  /// the pool is short of capacity.
  const pool_backlog* FindPool(const std::string& pool, millis now) const;
  /// Work of one claim that comes before a new job.
  struct waiting_work {
    /// Work of jobs that can still meet their objective and have to start
    /// earlier, and of refused jobs that are about to come back.
    double feasible_core_ms = 0;
    double late_core_ms = 0;       ///< See team_backlog.
    double returning_core_ms = 0;  ///< Of refused jobs that come back later.
  };
  struct pool_capacity {
    fleet::resources capacity;
    double room_millicores = 0;
  };
  /// Replaces a capacity of `pool` that is not reliable by the last known one,
  /// or by 0 if that is not larger.
  void CorrectCapacity(pool_backlog& pool, bool complete);
  /// Work of one claim that this node has accepted since the summary.
  struct accepted_work {
    double core_ms = 0;
    double largest_core_ms = 0;  ///< Of one job.
    millis since = 0;            ///< Time of the first acceptance.
  };

  /// Returns true if the leader has been out of reach for so long that the
  /// newest summary tells too little of what other nodes accepted.
  bool IsSummaryOld(millis now) const;
  /// Returns the work that was accepted since the summary: that of this node,
  /// and with an old summary as much for each other node. The largest job
  /// counts only once, since it says nothing about what other nodes got.
  double AcceptedSince(const pool_claim& key, millis now) const;
  /// Returns the work ahead of a new job, or of one that was refused before.
  /// The job can wait for `slack_ms` to start.
  waiting_work WorkAhead(const pool_claim& key, const pool_backlog& pool,
                         bool returning, millis slack_ms, millis now) const;
  /// Returns the expected work of a job; 0 if its pool is not known.
  double WorkOf(const fleet::job_record& job) const;
  /// Returns the time for which the pool has worked on what `key` has waiting.
  millis ServedMs(const pool_claim& key, millis now) const;
  static pool_claim KeyOf(const fleet::job_record& job) {
    return {job.pool, {job.team, job.priority}};
  }

  backlog_summary summary_;
  millis computed_at_ = -1;  ///< Time of the summary; -1: there is none.
  /// Time of the first contact with the leader that failed since the last one
  /// that did not; -1: none.
  millis failed_since_ = -1;
  /// Pools that have had a backlog, by name: the last known capacity, and the
  /// backlog if the newest summary has one.
  std::map<std::string, pool_backlog> known_pools_;
  /// The last capacities of the pools that complete summaries had, by name.
  std::map<std::string, pool_capacity> capacities_;
  std::map<pool_claim, accepted_work> accepted_;  ///< Since `computed_at_`.
  std::map<pool_claim, returning_work> refused_;  ///< Not taken yet.
};

}  // namespace radishwing::sched

#pragma once

#include <functional>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/sched/admission_policy.h"
#include "src/sched/pool_backlog.h"

namespace radishwing::sched {

/// Keeps the leader's current backlog summary for other nodes, together with
/// the refused work that these report. Performs no I/O; all times are readings
/// of one monotonic clock.
class backlog_publisher {
 public:
  /// `compute` returns the current summary. Its fencing token and its store
  /// revision are passed on.
  explicit backlog_publisher(std::function<backlog_summary()> compute)
      : compute_(std::move(compute)) {}

  /// Records that `node` takes submissions.
  void RecordNode(const std::string& node, millis now) { nodes_[node] = now; }
  /// Adds refused work that a node reports.
  void AddRefusedWork(std::span<const returning_work> refused, millis now);
  /// Returns the current summary, which is at most about `max_age_ms` old. Its
  /// sequence differs from that of the previous one if it was computed anew.
  const backlog_summary& Summary(millis now, millis max_age_ms);
  /// Returns true if no pool has had a backlog recently, so that nodes need no
  /// summary.
  bool IsIdle(millis now) const;

 private:
  /// Refused work that is expected back at a time.
  struct expected_return {
    millis due_at = 0;
    double core_ms = 0;
  };

  /// Sets the amounts of refused work in the summary and drops what is overdue.
  void ApplyRefusedWork(millis now);

  std::function<backlog_summary()> compute_;
  backlog_summary summary_;
  std::map<std::string, millis> nodes_;  ///< Last time of a call, by node.
  millis computed_at_ = -1;              ///< -1: not computed yet.
  millis last_backlog_at_ = -1;  ///< Last time with a backlog; -1: none yet.
  /// By pool and claim, in no order.
  std::map<std::pair<std::string, backlog_claim>, std::vector<expected_return>>
      returning_;
};

}  // namespace radishwing::sched

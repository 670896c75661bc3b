#include "src/sched/backlog_publisher.h"

#include <algorithm>

namespace radishwing::sched {
namespace {

// Time for which nodes are sent summaries after the last backlog. Guards of
// refused jobs exist for that long, and a node has to know of a store revision
// after a guard's to accept the job again.
constexpr millis kIdleAfterMs = 60000;
// A node that was heard of within this time takes submissions.
constexpr millis kActiveNodeMs = 1000;
// Work that is expected back within this time competes with new jobs.
constexpr millis kDueWithinMs = 1000;

}  // namespace

void backlog_publisher::AddRefusedWork(std::span<const returning_work> refused,
                                       millis now) {
  for (const returning_work& work : refused) {
    returning_[{work.pool, work.claim}].push_back(
        {now + work.due_in_ms, work.core_ms});
  }
}

const backlog_summary& backlog_publisher::Summary(millis now,
                                                  millis max_age_ms) {
  if (computed_at_ < 0 || now - computed_at_ >= max_age_ms) {
    const std::uint64_t sequence = summary_.sequence + 1;
    summary_ = compute_();
    summary_.sequence = sequence;
    computed_at_ = now;
    if (!summary_.pools.empty()) last_backlog_at_ = now;
    ApplyRefusedWork(now);
    std::erase_if(nodes_, [now](const auto& entry) {
      return now - entry.second > kActiveNodeMs;
    });
    summary_.nodes = std::max<std::uint64_t>(1, nodes_.size());
  }
  summary_.age_ms = now - computed_at_;
  return summary_;
}

bool backlog_publisher::IsIdle(millis now) const {
  return summary_.pools.empty() &&
         (last_backlog_at_ < 0 || now - last_backlog_at_ >= kIdleAfterMs);
}

void backlog_publisher::ApplyRefusedWork(millis now) {
  for (auto& [key, expected] : returning_) {
    std::erase_if(expected, [now](const expected_return& entry) {
      return entry.due_at < now;
    });
  }
  std::erase_if(returning_,
                [](const auto& entry) { return entry.second.empty(); });
  for (pool_backlog& pool : summary_.pools) {
    for (team_backlog& team : pool.teams) {
      const auto it = returning_.find({pool.pool, team.claim});
      if (it == returning_.end()) continue;
      for (const expected_return& entry : it->second) {
        team.returning_core_ms += entry.core_ms;
        if (entry.due_at - now <= kDueWithinMs) {
          team.due_core_ms += entry.core_ms;
        }
      }
    }
  }
}

}  // namespace radishwing::sched

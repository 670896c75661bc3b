#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/sched/pool_demand.h"

namespace radishwing::sched {

/// State of a host, as input to the pool planner.
struct pool_host {
  std::string name;
  std::string pool;        ///< Current pool, or the destination of a move.
  bool available = false;  ///< The planner may move the host now.
  bool arriving = false;   ///< The host is being moved into the pool.
  bool empty = false;      ///< No task runs on the host.
  std::int64_t cpu_millicores =
      0;  ///< Total processor capacity, in 1/1000 core.
};

/// A decision to move a host to another pool.
struct host_move {
  std::string host;     ///< Name of the host.
  std::string to_pool;  ///< Name of the destination pool.
};

/// Decides which empty hosts to move to a pool with blocked tasks, and which
/// idle hosts to move to standby; performs no I/O. A move pays off only if the
/// host then stays busy, or powered off, for some seconds.
class pool_planner {
 public:
  /// `standby_pool` is the name of the pool of powered-off hosts; empty if
  /// there is none.
  explicit pool_planner(std::string standby_pool)
      : standby_pool_(std::move(standby_pool)) {}

  /// Returns the moves to order at `now`, the most urgent first.
  std::vector<host_move> Plan(millis now, std::span<const pool_host> hosts,
                              const std::map<std::string, pool_demand>& demand);

 private:
  /// A pool whose capacity is too small for its blocked tasks.
  struct pool_shortage {
    std::string pool;               ///< Name of the pool.
    double missing_millicores = 0;  ///< Missing processor capacity.
  };

  std::vector<pool_shortage> FindShortages(
      std::span<const pool_host> hosts,
      const std::map<std::string, pool_demand>& demand);
  std::vector<const pool_host*> FindMovableHosts(
      millis now, std::span<const pool_host> hosts,
      std::span<const pool_shortage> shortages) const;
  /// Records since when each available host has been empty.
  void TrackEmptyHosts(millis now, std::span<const pool_host> hosts);
  /// Returns how long the host has been empty, or 0 if it is not empty.
  millis IdleMs(millis now, const pool_host& host) const;
  /// Records whether tasks are blocked. Returns true if idle hosts may move to
  /// standby.
  bool TrackBlockedDemand(millis now,
                          const std::map<std::string, pool_demand>& demand);

  std::string standby_pool_;  ///< Name of the pool; empty if there is none.
  /// By host name, the time since which the host has been empty.
  std::map<std::string, millis> empty_since_;
  /// Free processor capacity by pool in the current pass, in 1/1000 core.
  std::map<std::string, std::int64_t> free_millicores_;
  millis last_blocked_at_ = -1;  ///< Last time with blocked tasks; -1: never.
};

}  // namespace radishwing::sched

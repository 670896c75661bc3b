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
  std::string pool;
  bool available = false;  ///< Up, and not due for maintenance right now.
  bool arriving = false;   ///< Being moved into the pool.
  bool empty = false;      ///< No task runs on it.
  std::int64_t cpu_millis = 0;
};

/// A decision to move `host` to the pool `to`.
struct host_move {
  std::string host;
  std::string to;
};

/// Decides which empty hosts to move to another pool: to a pool with blocked
/// tasks, or to standby after an idle period. Performs no I/O; its only state
/// is since when each host has been empty and when tasks were last blocked. A
/// move has a cost, which pays off only if the host then stays busy, or off,
/// for some seconds.
class pool_planner {
 public:
  /// `standby` names the pool of powered-off hosts; empty if there is none.
  explicit pool_planner(std::string standby) : standby_(std::move(standby)) {}

  std::vector<host_move> Plan(millis now, std::span<const pool_host> hosts,
                              const std::map<std::string, pool_demand>& demand);

 private:
  struct pool_shortage {
    std::string pool;
    double missing_cpu_millis = 0;  ///< In 1/1000 core.
  };

  std::vector<pool_shortage> FindShortages(
      std::span<const pool_host> hosts,
      const std::map<std::string, pool_demand>& demand);
  std::vector<const pool_host*> FindSources(
      millis now, std::span<const pool_host> hosts,
      std::span<const pool_shortage> shortages) const;
  void TrackIdle(millis now, std::span<const pool_host> hosts);
  millis IdleFor(millis now, const pool_host& host) const;
  bool DemandSettled(millis now,
                     const std::map<std::string, pool_demand>& demand);

  std::string standby_;
  std::map<std::string, millis> empty_since_;
  /// Free processor capacity by pool in the current pass, in 1/1000 core.
  std::map<std::string, std::int64_t> free_cpu_;
  millis last_blocked_at_ = -1;  ///< Last time a task was blocked; -1: never.
};

}  // namespace radishwing::sched

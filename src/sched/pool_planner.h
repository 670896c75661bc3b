#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/sched/pool_demand.h"

namespace radishwing::sched {

/// A host as the pool planner sees it.
struct pool_host {
  std::string name;
  std::string pool;
  bool available = false;  ///< Up, and not due for maintenance right now.
  bool arriving = false;   ///< On its way into the pool.
  bool empty = false;      ///< Nothing runs on it.
  std::int64_t cpu_millis = 0;
};

/// A host to move.
struct host_move {
  std::string host;
  std::string to;
};

/// Decides which empty hosts go to another pool: to where work waits, and to
/// standby when they have been idle for a while. Pure but for the memory of
/// how long each host has been empty. Moves are priced, so a host that was
/// moved is worth its price only if it stays busy, or off, for some seconds.
class pool_planner {
 public:
  /// `standby` is the pool whose hosts are off; empty if there is none.
  explicit pool_planner(std::string standby) : standby_(std::move(standby)) {}

  std::vector<host_move> Plan(millis now, std::span<const pool_host> hosts,
                              const std::map<std::string, pool_demand>& demand);

 private:
  struct need {
    std::string pool;
    double shortage = 0;  ///< Thousandths of a core.
  };

  std::vector<need> FindNeeds(std::span<const pool_host> hosts,
                              const std::map<std::string, pool_demand>& demand);
  std::vector<const pool_host*> FindSources(millis now,
                                            std::span<const pool_host> hosts,
                                            std::span<const need> needs) const;
  void TrackIdle(millis now, std::span<const pool_host> hosts);
  millis IdleFor(millis now, const pool_host& host) const;
  bool Calm(millis now, const std::map<std::string, pool_demand>& demand);

  std::string standby_;
  std::map<std::string, millis> empty_since_;
  /// Of each pool, as of this plan; thousandths of a core.
  std::map<std::string, std::int64_t> free_cpu_;
  millis blocked_at_ = -1;  ///< When work last waited in any pool; -1: never.
};

}  // namespace radishwing::sched

#pragma once

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "src/sched/host_move.h"
#include "src/sched/pool_demand.h"
#include "src/sched/pool_host.h"

namespace radishwing::sched {

/// Decides which hosts move to a pool with blocked tasks, which hosts get no
/// new tasks so that they can move soon, and which idle hosts move to standby;
/// performs no I/O. Work that can still end in time goes before late work of
/// any pool. A move pays off only if the host then stays busy, or powered off,
/// for some seconds.
class pool_planner {
 public:
  using busy_time = std::function<millis(const std::string& host)>;

  /// `standby_pool` is the name of the pool of powered-off hosts; empty if
  /// there is none. `move_ms` is the time from the order of a move until the
  /// host accepts tasks in its new pool.
  /// `busy_ms` returns the expected time until a host is empty if it gets no
  /// new tasks; hosts leave only if it is set.
  explicit pool_planner(std::string standby_pool, millis move_ms = 1900,
                        busy_time busy_ms = {})
      : standby_pool_(std::move(standby_pool)),
        move_ms_(move_ms),
        busy_ms_(std::move(busy_ms)) {}

  /// Returns the moves to order at `now`, the most urgent first.
  std::vector<host_move> Plan(millis now, std::span<const pool_host> hosts,
                              const std::map<std::string, pool_demand>& demand);

  /// Returns the names of the hosts that are to get no new tasks until the next
  /// call of Plan(), because other pools need them.
  const std::set<std::string>& LeavingHosts() const { return leaving_; }

 private:
  /// Capacity and needs of a pool in the current pass, in 1/1000 core.
  struct pool_balance {
    /// Capacity of the hosts in the pool and on their way to it.
    double capacity = 0;
    double free = 0;            ///< Free capacity, with arriving hosts.
    double missing_useful = 0;  ///< Missing for work that can end in time.
    double missing_late = 0;    ///< Missing for late work.
    /// What work that can end in time uses, or could use if it were to be done
    /// within the time that a move takes.
    double useful_need = 0;
    bool is_late = false;  ///< Late work runs or is blocked.
  };

  void TrackHosts(millis now, std::span<const pool_host> hosts);
  /// Records which pools have blocked tasks.
  void TrackBlockedDemand(millis now,
                          const std::map<std::string, pool_demand>& demand);
  void BalancePools(std::span<const pool_host> hosts,
                    const std::map<std::string, pool_demand>& demand);
  /// Assigns hosts to the pools whose `missing` is positive.
  void AssignHosts(millis now, std::span<const pool_host> hosts,
                   double pool_balance::*missing, move_reason reason,
                   std::vector<host_move>& moves);
  /// Returns the hosts that may move to a pool that is short of `missing`.
  std::vector<const pool_host*> FindMovableHosts(
      millis now, std::span<const pool_host> hosts,
      double pool_balance::*missing) const;
  bool IsMovable(millis now, const pool_host& host,
                 double pool_balance::*missing) const;
  void ChooseLeavingHosts(millis now, std::span<const pool_host> hosts);
  /// Returns the hosts that could become empty in time, the first ones first.
  std::vector<const pool_host*> FindLeavingCandidates(
      millis now, std::span<const pool_host> hosts) const;
  /// Returns how much more each pool could use, or, if negative, has to spare,
  /// when all capacity is divided by the needs of useful work.
  std::map<std::string, double> DivideCapacity() const;
  void AddStandbyMoves(millis now, std::span<const pool_host> hosts,
                       std::vector<host_move>& moves);
  /// Returns how long the host has been empty, or 0 if it is not empty.
  millis IdleMs(millis now, const pool_host& host) const;
  /// Returns true if the host arrived in its pool so recently that moving it
  /// again would waste the previous move.
  bool ArrivedRecently(millis now, const pool_host& host) const;

  std::string standby_pool_;  ///< Name of the pool; empty if there is none.
  millis move_ms_;
  busy_time busy_ms_;  ///< May be null.
  /// By host name, the time since which the host has been empty.
  std::map<std::string, millis> empty_since_;
  /// By host name, the last time at which the host was seen moving.
  std::map<std::string, millis> arriving_at_;
  std::map<std::string, pool_balance> pools_;  ///< State of the current pass.
  std::set<std::string> assigned_;  ///< Hosts with a move in the current pass.
  std::set<std::string> leaving_;   ///< See LeavingHosts().
  /// By host name, the time since which the host has been leaving.
  std::map<std::string, millis> leaving_since_;
  /// By pool name, the last time with blocked tasks.
  std::map<std::string, millis> blocked_at_;
};

}  // namespace radishwing::sched

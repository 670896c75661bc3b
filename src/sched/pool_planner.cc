#include "src/sched/pool_planner.h"

#include <algorithm>
#include <cmath>

#include "src/sched/fair_division.h"

namespace radishwing::sched {
namespace {

// The planner requests enough hosts to finish the blocked work within this
// time, which is about the slack that a short job has before its objective.
constexpr double kBacklogHorizonMs = 500;
// Idle time after which an empty host of a pool without blocked tasks may move
// to a pool with blocked tasks. Within this time, the next step of a running
// job may still need the host.
constexpr millis kReassignAfterMs = 400;
// Idle time after which a host moves to standby. A host that may soon be needed
// again stays powered on: the moves to standby and back together cost about as
// much as keeping the host powered on for 2.4 s (1.2 s for each move), so a
// shorter standby is a loss.
constexpr millis kStandbyAfterMs = 1500;
// Free processor capacity that a pool keeps for jobs that arrive while it is
// idle, in 1/1000 core.
constexpr double kReserveMillicores = 32000;
// Multiple of the time of a move after which a host that did not become empty
// gets tasks again. Its capacity was left unused in the meantime.
constexpr millis kLeavingFactor = 2;

double Capacity(const pool_host& host) {
  return static_cast<double>(host.cpu_millicores);
}

// Returns `core_ms` of work as the capacity that finishes it within
// `horizon_ms`. Work that is not a positive number counts as none.
double MillicoresFor(double core_ms, double horizon_ms) {
  return core_ms > 0 ? core_ms / horizon_ms * 1000 : 0;
}

}  // namespace

std::string_view MoveReasonName(move_reason reason) {
  static constexpr std::string_view kNames[] = {"blocked", "standby",
                                                "late_backlog"};
  return kNames[static_cast<int>(reason)];
}

void pool_planner::TrackHosts(millis now, std::span<const pool_host> hosts) {
  std::map<std::string, millis> next_empty_since;
  std::map<std::string, millis> next_arriving_at;
  for (const pool_host& host : hosts) {
    if (host.arriving) {
      next_arriving_at[host.name] = now;
    } else if (const auto it = arriving_at_.find(host.name);
               it != arriving_at_.end()) {
      next_arriving_at.insert(*it);
    }
    if (!host.available || !host.empty) continue;
    const auto it = empty_since_.find(host.name);
    next_empty_since[host.name] = it == empty_since_.end() ? now : it->second;
  }
  empty_since_ = std::move(next_empty_since);
  arriving_at_ = std::move(next_arriving_at);
}

millis pool_planner::IdleMs(millis now, const pool_host& host) const {
  const auto it = empty_since_.find(host.name);
  return it == empty_since_.end() ? 0 : now - it->second;
}

bool pool_planner::ArrivedRecently(millis now, const pool_host& host) const {
  const auto it = arriving_at_.find(host.name);
  return it != arriving_at_.end() && now - it->second < move_ms_;
}

void pool_planner::TrackBlockedDemand(
    millis now, const std::map<std::string, pool_demand>& demand) {
  for (const auto& [pool, load] : demand) {
    if (load.blocked_core_ms > 0) blocked_at_[pool] = now;
  }
}

void pool_planner::BalancePools(
    std::span<const pool_host> hosts,
    const std::map<std::string, pool_demand>& demand) {
  pools_.clear();
  assigned_.clear();
  double largest_host = 0;
  for (const pool_host& host : hosts) {
    largest_host = std::max(largest_host, Capacity(host));
  }
  for (const auto& [pool, load] : demand) {
    double arriving = 0;
    for (const pool_host& host : hosts) {
      if (host.pool == pool && host.arriving) arriving += Capacity(host);
    }
    pool_balance& balance = pools_[pool];
    balance.capacity = static_cast<double>(load.capacity_millicores) + arriving;
    balance.free = balance.capacity - static_cast<double>(load.used_millicores);
    // Requests a host for each long-running task even if the pool has free
    // capacity, which may be unusable: a step can limit the number of its tasks
    // per runner.
    const double long_running = load.blocked_long_running_tasks * largest_host;
    const double useful =
        MillicoresFor(load.UsefulCoreMs(), kBacklogHorizonMs) + long_running;
    // A host that moves for work without value should work there for at least
    // as long as the move took.
    const double late =
        MillicoresFor(load.late_core_ms - load.very_late_core_ms,
                      kBacklogHorizonMs) +
        MillicoresFor(load.very_late_core_ms, static_cast<double>(move_ms_));
    balance.missing_useful = useful - arriving;
    balance.missing_late = late - std::max(0.0, arriving - useful);
    balance.useful_need =
        static_cast<double>(load.used_millicores - load.late_used_millicores) +
        MillicoresFor(load.UsefulCoreMs(), static_cast<double>(move_ms_)) +
        long_running;
    balance.is_late = load.late_core_ms > 0 || load.late_used_millicores > 0;
  }
}

bool pool_planner::IsMovable(millis now, const pool_host& host,
                             double pool_balance::*missing) const {
  if (!host.available || host.arriving || host.cpu_millicores <= 0 ||
      assigned_.contains(host.name)) {
    return false;
  }
  if (host.pool == standby_pool_) return true;
  if (!host.empty || ArrivedRecently(now, host)) return false;
  if (leaving_.contains(host.name)) return true;
  if (IdleMs(now, host) < kReassignAfterMs) return false;
  const auto it = pools_.find(host.pool);
  return it == pools_.end() ||
         (it->second.missing_useful <= 0 && it->second.*missing <= 0);
}

// Hosts that are powered on come first, as they cost the same in any pool
// except standby.
std::vector<const pool_host*> pool_planner::FindMovableHosts(
    millis now, std::span<const pool_host> hosts,
    double pool_balance::*missing) const {
  std::map<std::string, double> spare;
  for (const auto& [pool, balance] : pools_) {
    spare[pool] = balance.free - kReserveMillicores;
  }
  std::vector<const pool_host*> sources;
  for (const pool_host& host : hosts) {
    if (!IsMovable(now, host, missing)) continue;
    if (host.pool != standby_pool_ && !leaving_.contains(host.name)) {
      double& left = spare[host.pool];
      if (left < Capacity(host)) continue;
      left -= Capacity(host);
    }
    sources.push_back(&host);
  }
  // clang-tidy 14 fails to parse std::ranges::stable_partition.
  std::stable_partition(
      sources.begin(), sources.end(),
      [&](const pool_host* host) { return host->pool != standby_pool_; });
  return sources;
}

void pool_planner::AssignHosts(millis now, std::span<const pool_host> hosts,
                               double pool_balance::*missing,
                               move_reason reason,
                               std::vector<host_move>& moves) {
  std::vector<std::string> short_pools;
  std::vector<share_claim> claims;
  for (const auto& [pool, balance] : pools_) {
    if (balance.*missing <= 0) continue;
    short_pools.push_back(pool);
    claims.push_back({1, balance.*missing});
  }
  if (claims.empty()) return;
  const auto sources = FindMovableHosts(now, hosts, missing);
  double available = 0;
  for (const pool_host* host : sources) available += Capacity(*host);
  std::vector<double> parts = DivideByWeight(available, claims);
  for (const pool_host* host : sources) {
    const auto neediest = std::ranges::max_element(parts);
    if (*neediest <= 0) break;
    *neediest -= Capacity(*host);
    const std::string& pool = short_pools[static_cast<std::size_t>(
        std::distance(parts.begin(), neediest))];
    moves.push_back({host->name, pool, reason});
    assigned_.insert(host->name);
    pools_[host->pool].free -= Capacity(*host);
    pools_[host->pool].capacity -= Capacity(*host);
    pools_[pool].capacity += Capacity(*host);
    pools_[pool].*missing -= Capacity(*host);
  }
}

std::map<std::string, double> pool_planner::DivideCapacity() const {
  double total = 0;
  std::vector<share_claim> claims;
  for (const auto& [pool, balance] : pools_) {
    if (pool == standby_pool_) continue;
    total += std::max(0.0, balance.capacity);
    claims.push_back({1, balance.useful_need});
  }
  const std::vector<double> parts = DivideByWeight(total, claims);
  std::map<std::string, double> lacking;
  auto part = parts.begin();
  for (const auto& [pool, balance] : pools_) {
    if (pool != standby_pool_) lacking[pool] = *part++ - balance.capacity;
  }
  return lacking;
}

std::vector<const pool_host*> pool_planner::FindLeavingCandidates(
    millis now, std::span<const pool_host> hosts) const {
  struct candidate {
    const pool_host* host = nullptr;
    millis busy_ms = 0;
  };
  std::vector<candidate> candidates;
  for (const pool_host& host : hosts) {
    const auto it = pools_.find(host.pool);
    if (!host.available || host.arriving || host.cpu_millicores <= 0 ||
        host.pool == standby_pool_ || assigned_.contains(host.name) ||
        ArrivedRecently(now, host) || it == pools_.end() ||
        !it->second.is_late) {
      continue;
    }
    const auto since = leaving_since_.find(host.name);
    const millis left = since == leaving_since_.end()
                            ? move_ms_
                            : since->second + kLeavingFactor * move_ms_ - now;
    const millis busy_ms = busy_ms_(host.name);
    if (busy_ms <= left) candidates.push_back({&host, busy_ms});
  }
  std::ranges::stable_sort(candidates, {}, &candidate::busy_ms);
  std::vector<const pool_host*> found;
  for (const candidate& entry : candidates) found.push_back(entry.host);
  return found;
}

// A pool with late work that has more than its part of the capacity lets hosts
// become empty for a pool whose useful work would otherwise stay blocked for
// longer than a move takes. Only as many hosts leave as that work needs, and
// only hosts that become empty within the time of a move, because their
// capacity is unused until then.
void pool_planner::ChooseLeavingHosts(millis now,
                                      std::span<const pool_host> hosts) {
  std::map<std::string, double> lacking = DivideCapacity();
  double wanted = 0;
  for (const auto& [pool, amount] : lacking) {
    if (pools_[pool].missing_useful > 0) wanted += std::max(0.0, amount);
  }
  leaving_.clear();
  if (wanted > 0 && busy_ms_) {
    for (const pool_host* host : FindLeavingCandidates(now, hosts)) {
      double& surplus = lacking[host->pool];
      if (wanted < Capacity(*host) || -surplus < Capacity(*host)) continue;
      surplus += Capacity(*host);
      wanted -= Capacity(*host);
      leaving_.insert(host->name);
      leaving_since_.try_emplace(host->name, now);
    }
  }
  std::erase_if(leaving_since_, [&](const auto& entry) {
    return !leaving_.contains(entry.first);
  });
}

// Hosts move to standby pool by pool, from pools that had no blocked tasks
// lately. Before the first blocked task, and shortly after a blocked task, jobs
// are more likely to need the hosts again. Moving a host to standby and back
// then costs more than keeping the host powered on.
void pool_planner::AddStandbyMoves(millis now, std::span<const pool_host> hosts,
                                   std::vector<host_move>& moves) {
  if (standby_pool_.empty() || blocked_at_.empty()) return;
  for (const auto& [pool, blocked_at] : blocked_at_) {
    if (now - blocked_at < kStandbyAfterMs) return;
  }
  for (const pool_host& host : hosts) {
    const auto it = pools_.find(host.pool);
    if (it == pools_.end() || host.pool == standby_pool_ ||
        !IsMovable(now, host, &pool_balance::missing_late) ||
        IdleMs(now, host) < kStandbyAfterMs ||
        it->second.free - Capacity(host) < kReserveMillicores) {
      continue;
    }
    it->second.free -= Capacity(host);
    moves.push_back({host.name, standby_pool_, move_reason::kStandby});
  }
}

std::vector<host_move> pool_planner::Plan(
    millis now, std::span<const pool_host> hosts,
    const std::map<std::string, pool_demand>& demand) {
  TrackHosts(now, hosts);
  TrackBlockedDemand(now, demand);
  BalancePools(hosts, demand);
  std::vector<host_move> moves;
  AssignHosts(now, hosts, &pool_balance::missing_useful, move_reason::kBlocked,
              moves);
  AssignHosts(now, hosts, &pool_balance::missing_late,
              move_reason::kLateBacklog, moves);
  ChooseLeavingHosts(now, hosts);
  AddStandbyMoves(now, hosts, moves);
  return moves;
}

}  // namespace radishwing::sched

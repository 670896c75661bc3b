#include "src/sched/pool_planner.h"

#include <algorithm>

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
constexpr std::int64_t kReserveMillicores = 32000;

}  // namespace

void pool_planner::TrackEmptyHosts(millis now,
                                   std::span<const pool_host> hosts) {
  std::map<std::string, millis> next_empty_since;
  for (const pool_host& host : hosts) {
    if (!host.available || !host.empty) continue;
    const auto it = empty_since_.find(host.name);
    next_empty_since[host.name] = it == empty_since_.end() ? now : it->second;
  }
  empty_since_ = std::move(next_empty_since);
}

millis pool_planner::IdleMs(millis now, const pool_host& host) const {
  const auto it = empty_since_.find(host.name);
  return it == empty_since_.end() ? 0 : now - it->second;
}

// Records whether tasks are blocked. Returns true if tasks were blocked before,
// but not within the last kStandbyAfterMs, so that idle hosts may move to
// standby. Before the first blocked task, and shortly after a blocked task,
// jobs are more likely to need the hosts again. Moving a host to standby and
// back then costs more than keeping the host powered on.
bool pool_planner::TrackBlockedDemand(
    millis now, const std::map<std::string, pool_demand>& demand) {
  for (const auto& [pool, pool_load] : demand) {
    if (pool_load.blocked_core_ms > 0) last_blocked_at_ = now;
  }
  return last_blocked_at_ >= 0 && now - last_blocked_at_ >= kStandbyAfterMs;
}

// Returns the pools whose blocked tasks need more capacity than the arriving
// hosts add, the largest shortage first. Also sets `free_millicores_`.
std::vector<pool_planner::pool_shortage> pool_planner::FindShortages(
    std::span<const pool_host> hosts,
    const std::map<std::string, pool_demand>& demand) {
  std::vector<pool_shortage> shortages;
  free_millicores_.clear();
  for (const auto& [pool, pool_load] : demand) {
    std::int64_t arriving_millicores = 0;
    std::int64_t host_millicores = 0;
    for (const pool_host& host : hosts) {
      host_millicores = std::max(host_millicores, host.cpu_millicores);
      if (host.pool == pool && host.arriving)
        arriving_millicores += host.cpu_millicores;
    }
    free_millicores_[pool] = pool_load.capacity_millicores -
                             pool_load.used_millicores + arriving_millicores;
    double missing_millicores =
        pool_load.blocked_core_ms / kBacklogHorizonMs * 1000;
    if (pool_load.blocked_long_running_tasks > 0) {
      // Requests a host for each task even if the pool has free capacity, which
      // may be unusable: a step can limit the number of its tasks per runner.
      missing_millicores += static_cast<double>(
          pool_load.blocked_long_running_tasks * host_millicores);
    }
    missing_millicores -= static_cast<double>(arriving_millicores);
    if (missing_millicores > 0) shortages.push_back({pool, missing_millicores});
  }
  std::ranges::sort(shortages,
                    [](const pool_shortage& a, const pool_shortage& b) {
                      return a.missing_millicores > b.missing_millicores;
                    });
  return shortages;
}

// Returns the hosts that may move to another pool. Hosts that are powered on
// come first, as they cost the same in any pool except standby.
std::vector<const pool_host*> pool_planner::FindMovableHosts(
    millis now, std::span<const pool_host> hosts,
    std::span<const pool_shortage> shortages) const {
  std::map<std::string, std::int64_t> spare_millicores = free_millicores_;
  std::vector<const pool_host*> sources;
  for (const pool_host& host : hosts) {
    if (!host.available || host.arriving) continue;
    const bool standby = host.pool == standby_pool_;
    if (!standby && (!host.empty || IdleMs(now, host) < kReassignAfterMs)) {
      continue;
    }
    const auto own_shortage =
        std::ranges::find(shortages, host.pool, &pool_shortage::pool);
    if (own_shortage != shortages.end()) continue;
    if (!standby) {
      // The pool keeps kReserveMillicores of free capacity.
      std::int64_t& remaining_millicores = spare_millicores[host.pool];
      if (remaining_millicores - host.cpu_millicores < kReserveMillicores)
        continue;
      remaining_millicores -= host.cpu_millicores;
    }
    sources.push_back(&host);
  }
  // clang-tidy 14 fails to parse std::ranges::stable_partition.
  std::stable_partition(
      sources.begin(), sources.end(),
      [&](const pool_host* host) { return host->pool != standby_pool_; });
  return sources;
}

std::vector<host_move> pool_planner::Plan(
    millis now, std::span<const pool_host> hosts,
    const std::map<std::string, pool_demand>& demand) {
  TrackEmptyHosts(now, hosts);
  std::vector<pool_shortage> shortages = FindShortages(hosts, demand);
  const auto sources = FindMovableHosts(now, hosts, shortages);
  std::vector<host_move> moves;
  auto next = sources.begin();
  for (pool_shortage& shortage : shortages) {
    while (shortage.missing_millicores > 0 && next != sources.end()) {
      const pool_host& host = **next++;
      moves.push_back({host.name, shortage.pool});
      shortage.missing_millicores -= static_cast<double>(host.cpu_millicores);
      free_millicores_[host.pool] -= host.cpu_millicores;
    }
  }
  if (standby_pool_.empty() || !TrackBlockedDemand(now, demand)) return moves;
  for (; next != sources.end(); ++next) {
    const pool_host& host = **next;
    if (host.pool == standby_pool_ || IdleMs(now, host) < kStandbyAfterMs)
      continue;
    std::int64_t& remaining_millicores = free_millicores_[host.pool];
    if (remaining_millicores - host.cpu_millicores < kReserveMillicores)
      continue;
    remaining_millicores -= host.cpu_millicores;
    moves.push_back({host.name, standby_pool_});
  }
  return moves;
}

}  // namespace radishwing::sched

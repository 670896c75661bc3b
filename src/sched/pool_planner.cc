#include "src/sched/pool_planner.h"

#include <algorithm>

namespace radishwing::sched {
namespace {

// Hosts are called for so that the work that found no runner is done within
// this time: about the slack of a short job before its objective.
constexpr double kHorizonMs = 500;
// An empty host of a pool without waiting work may go to one with waiting work
// after this, as the next step of a job may be about to need it.
constexpr millis kLendAfterMs = 400;
// An idle host goes to standby after this. A move costs about as much as a
// host's pool time of 1.2 s, and there are two.
constexpr millis kStandbyAfterMs = 1500;
// Room that stays in a pool for work that arrives in a lull.
constexpr std::int64_t kReserveMillis = 32000;

}  // namespace

void pool_planner::TrackIdle(millis now, std::span<const pool_host> hosts) {
  std::map<std::string, millis> still;
  for (const pool_host& host : hosts) {
    if (!host.available || !host.empty) continue;
    const auto it = empty_since_.find(host.name);
    still[host.name] = it == empty_since_.end() ? now : it->second;
  }
  empty_since_ = std::move(still);
}

millis pool_planner::IdleFor(millis now, const pool_host& host) const {
  const auto it = empty_since_.find(host.name);
  return it == empty_since_.end() ? 0 : now - it->second;
}

// Without any waiting work yet, or with some a moment ago, idle hosts are more
// likely to be called for than to stay idle, and a move there and back costs
// more than the time between.
bool pool_planner::Calm(millis now,
                        const std::map<std::string, pool_demand>& demand) {
  for (const auto& [pool, asked] : demand) {
    if (asked.blocked_core_ms > 0) blocked_at_ = now;
  }
  return blocked_at_ >= 0 && now - blocked_at_ >= kStandbyAfterMs;
}

// Pools with work that found no runner, the neediest first.
std::vector<pool_planner::need> pool_planner::FindNeeds(
    std::span<const pool_host> hosts,
    const std::map<std::string, pool_demand>& demand) {
  std::vector<need> needs;
  free_cpu_.clear();
  for (const auto& [pool, asked] : demand) {
    std::int64_t arriving = 0;
    std::int64_t host_cpu = 0;
    for (const pool_host& host : hosts) {
      host_cpu = std::max(host_cpu, host.cpu_millis);
      if (host.pool == pool && host.arriving) arriving += host.cpu_millis;
    }
    free_cpu_[pool] = asked.room_cpu_millis - asked.used_cpu_millis + arriving;
    double shortage = asked.blocked_core_ms / kHorizonMs * 1000;
    if (asked.blocked_lasting > 0) {
      // Free room elsewhere in the pool does not help a task that may not
      // share a runner with its like.
      shortage += static_cast<double>(asked.blocked_lasting * host_cpu);
    }
    shortage -= static_cast<double>(arriving);
    if (shortage > 0) needs.push_back({pool, shortage});
  }
  std::ranges::sort(needs, [](const need& a, const need& b) {
    return a.shortage > b.shortage;
  });
  return needs;
}

// Hosts that may leave their pool, those that are running already first: they
// cost the same in another one.
std::vector<const pool_host*> pool_planner::FindSources(
    millis now, std::span<const pool_host> hosts,
    std::span<const need> needs) const {
  std::map<std::string, std::int64_t> spare_cpu = free_cpu_;
  std::vector<const pool_host*> sources;
  for (const pool_host& host : hosts) {
    if (!host.available || host.arriving) continue;
    const bool standby = host.pool == standby_;
    if (!standby && (!host.empty || IdleFor(now, host) < kLendAfterMs)) {
      continue;
    }
    const auto short_here = std::ranges::find(needs, host.pool, &need::pool);
    if (short_here != needs.end()) continue;
    if (!standby) {
      // Lent hosts leave the pool what arrives in a lull.
      std::int64_t& left = spare_cpu[host.pool];
      if (left - host.cpu_millis < kReserveMillis) continue;
      left -= host.cpu_millis;
    }
    sources.push_back(&host);
  }
  // std::ranges::stable_partition is not understood by clang-tidy 14.
  std::stable_partition(
      sources.begin(), sources.end(),
      [&](const pool_host* host) { return host->pool != standby_; });
  return sources;
}

std::vector<host_move> pool_planner::Plan(
    millis now, std::span<const pool_host> hosts,
    const std::map<std::string, pool_demand>& demand) {
  TrackIdle(now, hosts);
  std::vector<need> needs = FindNeeds(hosts, demand);
  const auto sources = FindSources(now, hosts, needs);
  std::vector<host_move> moves;
  auto next = sources.begin();
  for (need& wanted : needs) {
    while (wanted.shortage > 0 && next != sources.end()) {
      const pool_host& host = **next++;
      moves.push_back({host.name, wanted.pool});
      wanted.shortage -= static_cast<double>(host.cpu_millis);
      free_cpu_[host.pool] -= host.cpu_millis;
    }
  }
  if (standby_.empty() || !Calm(now, demand)) return moves;
  for (; next != sources.end(); ++next) {
    const pool_host& host = **next;
    if (host.pool == standby_ || IdleFor(now, host) < kStandbyAfterMs) continue;
    std::int64_t& left = free_cpu_[host.pool];
    if (left - host.cpu_millis < kReserveMillis) continue;
    left -= host.cpu_millis;
    moves.push_back({host.name, standby_});
  }
  return moves;
}

}  // namespace radishwing::sched

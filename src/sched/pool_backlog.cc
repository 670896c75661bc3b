#include "src/sched/pool_backlog.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace radishwing::sched {

std::int64_t RoundedAmount(double amount, double minimum) {
  if (std::isnan(amount)) return 0;
  return std::llround(
      std::clamp(amount, minimum, static_cast<double>(kMaxBacklogAmount)));
}

std::size_t SlackIndex(double slack_ms) {
  constexpr double kFirstBoundMs = 250;
  std::size_t index = 0;
  for (double bound = kFirstBoundMs;
       index + 1 < kSlackSteps && slack_ms > bound; bound *= 2) {
    ++index;
  }
  return index;
}

double team_backlog::WaitingCoreMs() const {
  return FeasibleCoreMs() + late_core_ms + blocked_core_ms;
}

double team_backlog::FeasibleCoreMs() const {
  return std::accumulate(feasible_core_ms.begin(), feasible_core_ms.end(), 0.0);
}

// Counts half of the work in the job's own range.
double team_backlog::FeasibleCoreMsBefore(double slack_ms) const {
  if (slack_ms < 0) return 0;
  const std::size_t own = SlackIndex(slack_ms);
  return std::accumulate(
      feasible_core_ms.begin(),
      feasible_core_ms.begin() + static_cast<std::ptrdiff_t>(own),
      feasible_core_ms[own] / 2);
}

double EffectiveMillicores(const fleet::resources& needs,
                           const fleet::resources& capacity) {
  const auto cpu = static_cast<double>(needs.cpu_millicores);
  if (capacity.cpu_millicores <= 0) return cpu;
  const auto equivalent = [&](std::int64_t need, std::int64_t available) {
    if (need <= 0 || available <= 0) return 0.0;
    return static_cast<double>(need) / static_cast<double>(available) *
           static_cast<double>(capacity.cpu_millicores);
  };
  return std::max({cpu, equivalent(needs.memory_mb, capacity.memory_mb),
                   equivalent(needs.accelerators, capacity.accelerators)});
}

double EstimatedCoreMs(const fleet::job_request& request,
                       const fleet::resources& capacity) {
  double work = 0;
  for (const fleet::task_step& step : request.steps) {
    // The members of a gang use their resources for as long as one task of
    // another step, so both kinds are counted alike.
    work += step.count * static_cast<double>(step.estimate_ms) *
            EffectiveMillicores(step.needs, capacity) / 1000;
  }
  return work;
}

void AddArrivingHosts(std::span<const pool_host> hosts, millis move_ms,
                      backlog_summary& summary) {
  for (pool_backlog& pool : summary.pools) {
    capacity_arrival moving{move_ms, 0};
    for (const pool_host& host : hosts) {
      const bool is_own = host.pool == pool.pool;
      if (is_own ? host.arriving : host.available && host.empty) {
        moving.millicores += static_cast<double>(host.cpu_millicores);
      }
    }
    pool.arrivals = {moving};
    for (const pool_backlog& other : summary.pools) {
      if (other.pool == pool.pool || other.room_millicores <= 0) continue;
      double work = 0;
      for (const team_backlog& team : other.teams) work += team.WaitingCoreMs();
      const millis done_ms = RoundedAmount(work * 1000 / other.room_millicores);
      pool.arrivals.push_back({done_ms + move_ms, other.room_millicores});
    }
    std::ranges::sort(pool.arrivals, {}, &capacity_arrival::in_ms);
  }
}

const team_backlog* FindClaim(const pool_backlog& pool,
                              const backlog_claim& claim) {
  const auto it = std::ranges::find(pool.teams, claim, &team_backlog::claim);
  return it == pool.teams.end() ? nullptr : &*it;
}

}  // namespace radishwing::sched

#include "src/sched/backlog_forecast.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <span>

#include "src/sched/fair_division.h"

namespace radishwing::sched {
namespace {

// Work that counts as none, to end a forecast in spite of rounding.
constexpr double kNoWorkCoreMs = 1e-6;

/// A claim during a forecast.
struct competitor {
  int priority = 0;
  share_claim share;
  double core_ms = 0;  ///< Work left.
  double rate = 0;     ///< Millicores that the claim is given.
};

// Sets the rates of all competitors: those of a higher priority go first.
void SetRates(double millicores, std::span<competitor> competitors) {
  std::set<int> priorities;
  for (const competitor& entry : competitors) {
    priorities.insert(entry.priority);
  }
  for (const int priority : priorities) {
    // A claim can use no more than there is.
    std::vector<share_claim> claims;
    for (const competitor& entry : competitors) {
      if (entry.priority != priority) continue;
      claims.push_back(
          {entry.share.weight, std::min(entry.share.demand, millicores)});
    }
    const std::vector<double> parts = DivideByWeight(millicores, claims);
    auto part = parts.begin();
    for (competitor& entry : competitors) {
      if (entry.priority != priority) continue;
      entry.rate = *part++;
      millicores -= entry.rate;
    }
  }
}

// Returns the competitors of `target`, which comes first. Claims of a lower
// priority do not delay it.
std::vector<competitor> FindCompetitors(const pool_backlog& pool,
                                        const backlog_claim& target,
                                        double target_weight, double core_ms,
                                        competing_work competing) {
  std::vector<competitor> found{
      {target.priority, {target_weight, HUGE_VAL}, core_ms, 0}};
  for (const team_backlog& team : pool.teams) {
    if (team.claim.priority > target.priority) continue;
    const double limit =
        team.limit_millicores < 0 ? HUGE_VAL : team.limit_millicores;
    if (team.claim == target) {
      found.front().share = {team.weight, limit};
      continue;
    }
    const double demand = team.used_millicores + team.waiting_millicores;
    const double work =
        team.FeasibleCoreMs() +
        (competing == competing_work::kFeasibleAndLate ? team.late_core_ms : 0);
    if (work < kNoWorkCoreMs) continue;
    found.push_back(
        {team.claim.priority, {team.weight, std::min(limit, demand)}, work, 0});
  }
  return found;
}

// Returns the time until a competitor has no work left, at most `limit_ms`.
double TimeToNextEnd(std::span<const competitor> competitors, double limit_ms) {
  for (const competitor& entry : competitors) {
    if (entry.rate > 0) {
      limit_ms = std::min(limit_ms, entry.core_ms * 1000 / entry.rate);
    }
  }
  return limit_ms;
}

}  // namespace

work_forecast ForecastWork(const pool_backlog& pool,
                           const backlog_claim& target, double target_weight,
                           double core_ms, competing_work competing) {
  auto competitors =
      FindCompetitors(pool, target, target_weight, core_ms, competing);
  work_forecast forecast;
  double elapsed = 0;
  double millicores = pool.room_millicores;
  auto arrival = pool.arrivals.begin();
  // Each round ends with the work of a competitor or the arrival of hosts.
  for (std::size_t rounds = competitors.size() + pool.arrivals.size();
       rounds > 0 && competitors.front().core_ms >= kNoWorkCoreMs; --rounds) {
    while (arrival != pool.arrivals.end() &&
           static_cast<double>(arrival->in_ms) <= elapsed) {
      millicores += (arrival++)->millicores;
    }
    SetRates(millicores, competitors);
    const double own_limit = competitors.front().share.demand;
    forecast.bound_by_team_limit =
        own_limit < millicores && competitors.front().rate >= own_limit;
    const double until = arrival != pool.arrivals.end()
                             ? static_cast<double>(arrival->in_ms)
                             : static_cast<double>(kLongestWaitMs);
    const double step = TimeToNextEnd(competitors, until - elapsed);
    elapsed += step;
    for (competitor& entry : competitors) {
      entry.core_ms -= entry.rate * step / 1000;
    }
    const auto ended = std::remove_if(
        competitors.begin() + 1, competitors.end(),
        [](const competitor& entry) { return entry.core_ms < kNoWorkCoreMs; });
    competitors.erase(ended, competitors.end());
  }
  forecast.wait_ms = competitors.front().core_ms < kNoWorkCoreMs
                         ? static_cast<millis>(std::ceil(elapsed))
                         : kLongestWaitMs;
  return forecast;
}

}  // namespace radishwing::sched

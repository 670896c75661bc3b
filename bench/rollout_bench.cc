#include "bench/bench_case.h"
#include "bench/rollout_simulation.h"

namespace radishwing::bench {
namespace {

constexpr double kHour = 3'600'000;

std::vector<figure> Rollout(std::uint64_t seed) {
  rollout_simulation fleet(seed);
  const auto bound = static_cast<double>(fleet.LowerBound());
  const auto with_growth = static_cast<double>(fleet.LowerBoundWithGrowth());
  const auto length = static_cast<double>(fleet.Run());
  return {
      {"length", length / kHour, "h", "", false},
      {"lower bound", bound / kHour, "h", "", false},
      AtMost("length to lower bound", length / bound, "times", 1.2),
      {"length to bound with growth", length / with_growth, "times", "", false},
      AtMost("floor violations", static_cast<double>(fleet.FloorViolations()),
             "", 0)};
}

std::vector<figure> PlanningPass(std::uint64_t seed) {
  const rollout_simulation fleet(seed);
  const double micros =
      MedianMicros(200, [&fleet](int) { maintenance::PlanWave(fleet.View()); });
  return {AtMost("median of one wave pass", micros / 1000, "ms", 50)};
}

const registration kRollout(
    {"rollout",
     "1,100 hosts in 106 pools, racks of 4, 44 spare, 15 min +-10% per host",
     Rollout});
const registration kPass({"wave_planning_pass",
                          "1,100 hosts in 106 pools at the start of a wave",
                          PlanningPass});

}  // namespace
}  // namespace radishwing::bench

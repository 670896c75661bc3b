#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "bench/bench_case.h"
#include "tools/fleet_fake/fluid_fleet.h"

namespace radishwing::bench {
namespace {

using fleet_fake::fluid_fleet;

constexpr int kPools = 4;
constexpr int kHosts = 120;
constexpr millis kTurnMs = 4500;
constexpr millis kLengthMs = 180'000;
// Work of a pool in its turn and outside of it, in cores.
constexpr double kTurnCores = 700;
constexpr double kQuietCores = 35;

/// Returns the work that arrives for a pool in each step, in cores: in turns of
/// the pools, with random deviations.
std::vector<double> Arrivals(int pool, std::uint64_t seed) {
  std::mt19937_64 random(seed * 100 + static_cast<std::uint64_t>(pool));
  std::vector<double> cores;
  for (millis now = 0; now < kLengthMs; now += fluid_fleet::kStepMs) {
    const bool turn = now / kTurnMs % kPools == pool;
    // The mean of 8 draws: the jobs that arrive in a step differ in size.
    double factor = 0;
    for (int i = 0; i < 8; ++i) {
      factor += std::exponential_distribution<double>(8)(random);
    }
    cores.push_back((turn ? kTurnCores : kQuietCores) * factor);
  }
  return cores;
}

/// Returns the host seconds of a planner that knows the arrivals: a host is on
/// from the start of its move until its work is done.
double KnowingHostSeconds(const std::vector<std::vector<double>>& arrivals) {
  constexpr std::size_t kAhead = fluid_fleet::kMoveMs / fluid_fleet::kStepMs;
  double host_ms = 0;
  for (const std::vector<double>& cores : arrivals) {
    for (std::size_t i = 0; i < cores.size(); ++i) {
      double most = 0;
      for (std::size_t j = i; j <= i + kAhead && j < cores.size(); ++j) {
        // Mean over a second, as work may wait for a moment.
        double sum = 0;
        const std::size_t end = std::min(j + 10, cores.size());
        for (std::size_t k = j; k < end; ++k) sum += cores[k];
        most = std::max(most, sum / static_cast<double>(end - j));
      }
      host_ms +=
          std::ceil(most / fluid_fleet::kHostCores) * fluid_fleet::kStepMs;
    }
  }
  return host_ms / 1000;
}

struct outcome {
  double host_seconds = 0;
  double late_share = 0;  ///< Part of the work that was done late.
};

outcome Play(const std::vector<std::vector<double>>& arrivals) {
  fluid_fleet fleet;
  for (std::size_t p = 0; p < arrivals.size(); ++p) {
    const std::string name = "pool-" + std::to_string(p);
    fleet.AddHosts(kHosts / kPools, name);
    fleet.pools[name].rate = [&cores = arrivals[p]](millis now) {
      return cores[static_cast<std::size_t>(now / fluid_fleet::kStepMs)];
    };
  }
  while (fleet.now < kLengthMs) fleet.Step();
  double late = 0;
  double arrived = 0;
  for (const auto& [name, pool] : fleet.pools) {
    late += pool.late_core_ms;
    arrived += pool.arrived;
  }
  return {fleet.host_ms / 1000, late / arrived};
}

std::vector<measurement> MeasureCapacity(std::uint64_t seed) {
  std::vector<std::vector<double>> arrivals;
  for (int p = 0; p < kPools; ++p) arrivals.push_back(Arrivals(p, seed));
  const double knowing = KnowingHostSeconds(arrivals);
  const outcome planned = Play(arrivals);
  return {
      AtMost("host seconds, ratio", planned.host_seconds / knowing, "", 1.4),
      {"late work", 100 * planned.late_share, "%", "", false}};
}

const bench_registration kRegistration(
    {"capacity",
     "4 pools in turns of 4.5 s on 120 hosts, 180 s; host seconds against a "
     "planner that knows the arrivals",
     MeasureCapacity});

}  // namespace
}  // namespace radishwing::bench

#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/maintenance/wave_planner.h"

namespace radishwing::bench {

/// A fleet under one kernel wave, with real records, ledgers and planner, and
/// simulated drains and reboots.
class rollout_simulation {
 public:
  explicit rollout_simulation(std::uint64_t seed);

  /// Runs the wave to its end. Returns its length in ms, or -1 if it stalls.
  millis Run();

  /// Length of the schedule that knows all times beforehand and obeys floor,
  /// one rack at a time and `wave_hosts_max`, but neither the growth nor
  /// planning intervals: the longest pool's sum over its racks of the hosts in
  /// batches.
  millis LowerBound() const;

  /// As LowerBound, with the steps that the growth from one host requires.
  millis LowerBoundWithGrowth() const;

  const maintenance::wave_view& View() const { return view_; }
  std::uint64_t FloorViolations() const { return floor_violations_; }

 private:
  struct job {
    millis ends_at = 0;
    maintenance::wave_action action;
  };

  void Start(const maintenance::wave_action& action, millis now);
  void Finish(const maintenance::wave_action& action);
  maintenance::wave_pool& Pool(const std::string& name);
  millis PoolBound(const maintenance::wave_pool& pool, bool growth) const;

  std::mt19937_64 random_;
  maintenance::wave_view view_;
  std::map<std::string, millis> maintenance_ms_;
  std::vector<job> jobs_;
  std::uint64_t floor_violations_ = 0;
};

}  // namespace radishwing::bench

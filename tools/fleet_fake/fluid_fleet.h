#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/sched/pool_planner.h"

namespace radishwing::fleet_fake {

/// Hosts, pools and their work as a fluid, to drive a pool planner without
/// runners: work arrives at a rate, waits while its pool is full, and uses
/// capacity that is free again at once when the work is done. Moves and their
/// time are simulated, one step each 100 ms.
struct fluid_fleet {
  static constexpr millis kStepMs = 100;
  static constexpr millis kMoveMs = 1900;
  static constexpr double kHostCores = 16;
  /// Age from which on waiting work is late.
  static constexpr millis kSlackMs = 1500;
  static constexpr const char* kStandby = "off";

  struct pool_state {
    /// Returns the work that arrives at a time, in cores.
    std::function<double(millis)> rate;
    double arrived = 0;          ///< All work so far, in core-ms.
    double backlog = 0;          ///< Waiting work, in core-ms.
    double late_core_ms = 0;     ///< Sum of the work that was done late.
    std::vector<double> recent;  ///< Arrivals of the latest steps.
  };

  void AddHosts(int count, const std::string& pool) {
    for (int i = 0; i < count; ++i) {
      hosts.push_back({std::to_string(1000 + hosts.size()), pool, true, false,
                       true, static_cast<std::int64_t>(kHostCores * 1000)});
    }
  }

  /// Plays one step.
  void Step() {
    std::map<std::string, sched::pool_demand> demand;
    for (sched::pool_host& host : hosts) Arrive(host);
    for (auto& [name, pool] : pools) demand[name] = Serve(name, pool);
    for (const sched::host_move& move : planner.Plan(now, hosts, demand)) {
      Move(move);
    }
    for (const sched::pool_host& host : hosts) {
      if (host.pool != kStandby) host_ms += kStepMs;
    }
    now += kStepMs;
  }

  void Arrive(sched::pool_host& host) {
    if (!host.arriving || now - moved_at[host.name] < kMoveMs) return;
    host.arriving = false;
    host.available = true;
  }

  void Move(const sched::host_move& move) {
    const auto host =
        std::ranges::find(hosts, move.host, &sched::pool_host::name);
    if (host->pool != kStandby && moved_at.contains(move.host)) {
      shortest_stay_ms =
          std::min(shortest_stay_ms, now - moved_at[move.host] - kMoveMs);
    }
    host->pool = move.to_pool;
    host->arriving = true;
    host->available = false;
    host->empty = true;
    moved_at[move.host] = now;
    ++moves[move.reason];
  }

  sched::pool_demand Serve(const std::string& name, pool_state& pool) {
    const double arriving = pool.rate(now) * kStepMs;
    pool.arrived += arriving;
    pool.backlog += arriving;
    pool.recent.push_back(arriving);
    double in_time = 0;
    for (std::size_t i = 0; i < kSlackMs / kStepMs && i < pool.recent.size();
         ++i) {
      in_time += pool.recent[pool.recent.size() - 1 - i];
    }
    double cores = 0;
    for (const sched::pool_host& host : hosts) {
      if (host.pool == name && !host.arriving) cores += kHostCores;
    }
    const double room = cores;
    const double done = std::min(pool.backlog, room * kStepMs);
    pool.late_core_ms += std::clamp(pool.backlog - in_time, 0.0, done);
    pool.backlog -= done;
    const double used = done / kStepMs;
    auto busy = static_cast<int>(std::ceil(used / kHostCores));
    for (sched::pool_host& host : hosts) {
      if (host.pool == name && !host.arriving) host.empty = busy-- <= 0;
    }
    sched::pool_demand demand;
    demand.blocked_core_ms = pool.backlog;
    demand.late_core_ms = std::max(0.0, pool.backlog - in_time);
    demand.capacity_millicores = static_cast<std::int64_t>(cores * 1000);
    demand.used_millicores = static_cast<std::int64_t>(used * 1000);
    demand.arrived_core_ms = pool.arrived;
    return demand;
  }

  millis now = 0;
  std::vector<sched::pool_host> hosts;
  std::map<std::string, pool_state> pools;
  std::map<std::string, millis> moved_at;
  std::map<sched::move_reason, int> moves;
  /// Shortest time between the arrival of a host in a pool other than standby
  /// and its next move.
  millis shortest_stay_ms = 1000000;
  double host_ms = 0;  ///< Time of all hosts outside of standby.
  sched::pool_planner planner{kStandby, kMoveMs};
};

}  // namespace radishwing::fleet_fake

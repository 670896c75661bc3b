#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "src/report/fleet_counters.h"
#include "src/report/scrape.h"
#include "src/report/window_record.h"
#include "src/settings/fleet_settings.h"

namespace radishwing::report {

/// Requests of one service and team in one window.
struct burn_window {
  std::uint64_t total = 0;
  std::uint64_t bad = 0;
  /// By position in kBadOutcomes.
  std::array<std::uint64_t, std::size(kBadOutcomes)> by_outcome = {};
  /// Error budget used, relative to even use: 1 uses it up exactly over any
  /// window, above 1 faster. 0 without requests.
  double burn = 0;
};

/// Burn of one service for one team, or for all teams together.
struct service_burn {
  std::string service;
  std::string team;  ///< Empty for all teams.
  double good_ratio = 0;
  std::int64_t latency_ms = 0;
  std::array<burn_window, kTiers.size()> windows;
  /// Part of the error budget of the longest window that is left; negative if
  /// more was used than there was.
  double budget_left = 1;
};

/// How near one team comes to its share.
struct team_nearness {
  std::string team;
  double share = 0;
  double used = 0;     ///< Part of the fleet's slot time in the last hour.
  double waiting = 0;  ///< Requests waiting now.
  double running = 0;
};

struct pool_state {
  std::string pool;
  bool spare = false;
  double active = 0;
  double unavailable = 0;
  std::uint32_t floor_hosts = 0;
  std::uint32_t target_hosts = 0;
  std::uint64_t moves_hour = 0;
  std::uint64_t moves_longest = 0;
};

struct wave_progress {
  std::string wave;
  double waiting = 0;
  double in_progress = 0;
  double done = 0;
  double unhealthy = 0;
};

/// Everything that the report shows.
struct burn_report {
  std::string fleet;
  millis taken_ms = 0;  ///< Wall time.
  std::array<millis, kTiers.size()> covered = {};
  std::vector<service_burn> services;
  std::vector<team_nearness> teams;
  std::vector<pool_state> pools;
  std::vector<wave_progress> waves;
  std::size_t daemons_read = 0;
  /// Daemons and records that could not be read.
  std::vector<std::string> gaps;
};

/// Computes the report. `records` are by name; a missing one is empty.
burn_report MakeBurnReport(const settings::fleet_settings& settings,
                           std::span<const scrape> scrapes,
                           const std::map<std::string, window_record>& records,
                           millis now);

}  // namespace radishwing::report

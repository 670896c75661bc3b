#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "src/report/fleet_counters.h"
#include "src/report/scrape.h"
#include "src/report/windowed_counters.h"
#include "src/settings/fleet_settings.h"

namespace radishwing::report {

/// Request counts and burn rate of one service and team over one window.
struct budget_window {
  std::uint64_t total = 0;
  std::uint64_t bad_total = 0;
  /// Indexed like kBadOutcomes.
  std::array<std::uint64_t, std::size(kBadOutcomes)> bad_by_outcome = {};
  /// Rate of error budget consumption: the bad fraction divided by the fraction
  /// that the objective allows. 1 consumes the budget of any window exactly,
  /// higher values exceed it. 0 without requests.
  double burn_rate = 0;
};

/// Error budget of one service, for one team or for all teams together.
struct service_budget {
  std::string service;
  std::string team;  ///< Empty for all teams.
  double good_ratio = 0;
  std::int64_t latency_ms = 0;
  std::array<budget_window, kTiers.size()> windows;
  /// Fraction of the longest window's error budget that remains; negative if
  /// the budget is exceeded.
  double budget_remaining = 1;
};

/// Slot usage of one team compared with its share.
struct team_usage {
  std::string team;
  double share = 0;
  double used_share = 0;  ///< Fraction of the fleet's slot time, last hour.
  double waiting = 0;     ///< Requests waiting now.
  double running = 0;
};

struct pool_state {
  std::string pool;
  bool spare = false;
  double active_hosts = 0;
  double unavailable_hosts = 0;
  std::uint32_t floor_hosts = 0;
  std::uint32_t target_hosts = 0;
  std::uint64_t moves_last_hour = 0;
  std::uint64_t moves_longest_window = 0;
};

struct wave_progress {
  std::string wave;
  double waiting = 0;
  double in_progress = 0;
  double done = 0;
  double unhealthy = 0;
};

/// All data shown by the report.
struct fleet_report {
  std::string fleet_name;
  millis generated_at_ms = 0;  ///< Wall-clock time.
  std::array<millis, kTiers.size()> coverage_ms = {};
  std::vector<service_budget> services;
  std::vector<team_usage> teams;
  std::vector<pool_state> pools;
  std::vector<wave_progress> waves;
  std::size_t scraped_daemons = 0;
  /// One message for each daemon or record that could not be read.
  std::vector<std::string> read_errors;
};

/// Builds the report. `records` is keyed by record name; a missing record
/// counts as empty.
fleet_report MakeFleetReport(
    const settings::fleet_settings& settings, std::span<const scrape> scrapes,
    const std::map<std::string, windowed_counters>& records, millis now);

}  // namespace radishwing::report

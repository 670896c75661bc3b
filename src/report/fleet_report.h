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

/// Requests and burn rate of one service in one report window, for one team or
/// for all teams together.
struct budget_window {
  std::uint64_t request_count = 0;  ///< Number of good and bad requests.
  /// Number of requests that consume the error budget.
  std::uint64_t bad_request_count = 0;
  /// Number of bad requests by outcome, indexed like kBadOutcomes.
  std::array<std::uint64_t, std::size(kBadOutcomes)> bad_requests_by_outcome =
      {};
  /// Fraction of bad requests divided by the fraction that the objective
  /// allows. A burn rate of 1 consumes exactly the window's error budget. The
  /// burn rate is 0 if there are no requests.
  double burn_rate = 0;
};

/// Error budget of one service, for one team or for all teams together.
struct service_budget {
  std::string service;          ///< Name of the service.
  std::string team;             ///< Name of the team; empty for all teams.
  double good_ratio = 0;        ///< Required fraction of good requests.
  std::int64_t latency_ms = 0;  ///< Maximum latency of a good response.
  /// Requests and burn rate in each window, indexed like kReportWindows.
  std::array<budget_window, kReportWindows.size()> windows;
  /// Remaining fraction of the error budget of the longest window; negative if
  /// the budget is exceeded.
  double budget_remaining = 1;
};

/// Use of the fleet capacity by one team, compared with its share.
struct team_usage {
  std::string team;  ///< Name of the team.
  /// Fraction of the fleet capacity that the team is entitled to.
  double share = 0;
  /// Fraction of the fleet capacity that the team used in the last hour: the
  /// time for which its requests occupied runner slots, divided by the time of
  /// all slots. A runner has one slot for each request it can process at once.
  double used_share = 0;
  /// Number of the team's client requests that wait for a runner.
  double waiting_requests = 0;
  /// Number of the team's client requests that runners are processing.
  double running_requests = 0;
};

/// Hosts of one pool now, and moves of hosts into it.
struct pool_state {
  std::string pool;    ///< Name of the pool.
  bool spare = false;  ///< True for the pool that lends hosts to the others.
  /// Number of hosts that the nodes export in the state `active`.
  double active_hosts = 0;
  /// Number of hosts in the other states: empty (without tasks), draining,
  /// in maintenance or failed.
  double inactive_hosts = 0;
  std::uint32_t floor_hosts = 0;   ///< pool_settings::floor_hosts.
  std::uint32_t target_hosts = 0;  ///< pool_settings::target_hosts.
  /// Number of host moves into the pool ordered in the last hour.
  std::uint64_t incoming_moves_last_hour = 0;
  /// Number of host moves into the pool ordered in the longest report window.
  std::uint64_t incoming_moves_longest_window = 0;
};

/// Number of hosts of one maintenance wave in each state.
struct wave_progress {
  std::string wave;  ///< Name of the wave.
  double waiting_hosts = 0;
  double in_progress_hosts = 0;
  double done_hosts = 0;
  double unhealthy_hosts = 0;
};

/// All data shown by the report.
struct fleet_report {
  std::string fleet_name;
  millis generated_at_ms = 0;  ///< Wall-clock time of the report.
  /// Length of the part of each window that the scrapes cover, indexed like
  /// kReportWindows.
  std::array<millis, kReportWindows.size()> coverage_ms = {};
  /// For each service, its budget for all teams together, followed by one
  /// budget for each team that has requests in the longest window.
  std::vector<service_budget> services;
  std::vector<team_usage> teams;
  std::vector<pool_state> pools;
  std::vector<wave_progress> waves;
  /// Number of node addresses whose metrics were read.
  std::size_t successful_scrapes = 0;
  /// One message for each node or record that could not be read.
  std::vector<std::string> read_errors;
};

/// Builds the report at `now`, wall-clock time in ms. `records` is keyed by
/// record name; a missing record counts as empty.
fleet_report MakeFleetReport(
    const settings::fleet_settings& settings, std::span<const scrape> scrapes,
    const std::map<std::string, windowed_counters>& records, millis now);

}  // namespace radishwing::report

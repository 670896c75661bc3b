#include "src/report/text_page.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace radishwing::report {
namespace {

// Returns `text` as a column of at least `width` characters and a gap of two.
std::string Pad(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text + "  ";
}

std::string FormatPercent(double fraction) {
  return FormatFixed(fraction * 100, 1) + "%";
}

std::string FormatBadOutcomes(const budget_window& window) {
  if (window.bad_request_count == 0) return "nothing";
  std::string text;
  for (std::size_t i = 0; i < std::size(kBadOutcomes); ++i) {
    if (window.bad_requests_by_outcome[i] == 0) continue;
    if (!text.empty()) text += ", ";
    text += std::string(kBadOutcomeTitles[i]) + " " +
            std::to_string(window.bad_requests_by_outcome[i]);
  }
  return text;
}

void AppendServices(std::string& page, const fleet_report& report) {
  page += "\nError budgets (a burn rate of 1 uses up exactly the budget)\n";
  page += Pad("service", 16) + Pad("team", 16) + Pad("objective", 20);
  for (const report_window& shown_window : kReportWindows)
    page += Pad(shown_window.name, 8);
  page += Pad("left", 8) + "used up by (3 days)\n";
  for (const service_budget& budget : report.services) {
    const bool all_teams = budget.team.empty();
    page += Pad(all_teams ? budget.service : "", 16) +
            Pad(all_teams ? "all" : budget.team, 16);
    page += Pad(all_teams ? FormatFixed(budget.good_ratio * 100, 3) + "% in " +
                                std::to_string(budget.latency_ms) + " ms"
                          : "",
                20);
    for (const budget_window& window : budget.windows) {
      page += Pad(
          window.request_count == 0 ? "-" : FormatFixed(window.burn_rate, 2),
          8);
    }
    page += Pad(FormatPercent(budget.budget_remaining), 8) +
            FormatBadOutcomes(budget.windows.back()) + "\n";
  }
}

void AppendTeams(std::string& page, const fleet_report& report) {
  page += "\nShares (slot time of the last hour)\n";
  page += Pad("team", 16) + Pad("share", 8) + Pad("used", 8) +
          Pad("running", 8) + "waiting\n";
  for (const team_usage& team : report.teams) {
    page += Pad(team.team, 16) + Pad(FormatPercent(team.share), 8) +
            Pad(FormatPercent(team.used_share), 8) +
            Pad(FormatFixed(team.running_requests, 0), 8) +
            FormatFixed(team.waiting_requests, 0) + "\n";
  }
}

void AppendPools(std::string& page, const fleet_report& report) {
  page += "\nPools\n";
  page += Pad("pool", 16) + Pad("active", 7) + Pad("out", 5) + Pad("floor", 6) +
          Pad("target", 7) + Pad("moves in, 1 h", 14) + "3 days\n";
  for (const pool_state& pool : report.pools) {
    page += Pad(pool.pool + (pool.spare ? " (buffer)" : ""), 16) +
            Pad(FormatFixed(pool.active_hosts, 0), 7) +
            Pad(FormatFixed(pool.inactive_hosts, 0), 5) +
            Pad(std::to_string(pool.floor_hosts), 6) +
            Pad(std::to_string(pool.target_hosts), 7) +
            Pad(std::to_string(pool.incoming_moves_last_hour), 14) +
            std::to_string(pool.incoming_moves_longest_window) + "\n";
  }
}

void AppendWaves(std::string& page, const fleet_report& report) {
  if (report.waves.empty()) return;
  page += "\nRoll-outs (hosts)\n";
  page += Pad("wave", 24) + Pad("done", 6) + Pad("in progress", 12) +
          Pad("waiting", 8) + "unhealthy\n";
  for (const wave_progress& wave : report.waves) {
    page += Pad(wave.wave, 24) + Pad(FormatFixed(wave.done_hosts, 0), 6) +
            Pad(FormatFixed(wave.in_progress_hosts, 0), 12) +
            Pad(FormatFixed(wave.waiting_hosts, 0), 8) +
            FormatFixed(wave.unhealthy_hosts, 0) + "\n";
  }
}

}  // namespace

std::string FormatFixed(double value, int digits) {
  char buffer[64];
  std::snprintf(buffer, sizeof buffer, "%.*f", digits, value);
  return buffer;
}

std::string FormatDuration(millis duration) {
  const double minutes = static_cast<double>(duration) / kMinuteMs;
  if (minutes < 2) return std::to_string(duration / 1000) + " s";
  if (minutes < 120) return FormatFixed(minutes, 0) + " min";
  if (minutes < 48 * 60) return FormatFixed(minutes / 60, 1) + " h";
  return FormatFixed(minutes / 1440, 1) + " days";
}

std::string FormatUtcTime(millis wall_ms) {
  const std::time_t seconds = wall_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char buffer[64];
  std::strftime(buffer, sizeof buffer, "%Y-%m-%d %H:%M:%S UTC", &parts);
  return buffer;
}

std::string RenderText(const fleet_report& report) {
  std::string page = "Fleet " + report.fleet_name + ", " +
                     FormatUtcTime(report.generated_at_ms) + "\n";
  for (std::size_t window_index = 0; window_index < kReportWindows.size();
       ++window_index) {
    if (report.coverage_ms[window_index] >=
        kReportWindows[window_index].length_ms)
      continue;
    page += std::string("The window of ") + kReportWindows[window_index].name +
            " covers " + FormatDuration(report.coverage_ms[window_index]) +
            " so far.\n";
  }
  for (const std::string& read_error : report.read_errors)
    page += "Not included: " + read_error + "\n";
  AppendServices(page, report);
  AppendTeams(page, report);
  AppendPools(page, report);
  AppendWaves(page, report);
  return page;
}

}  // namespace radishwing::report

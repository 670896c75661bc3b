#include "src/report/text_page.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace radishwing::report {
namespace {

std::string Pad(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text + "  ";
}

std::string Percent(double part) { return FixedNumber(part * 100, 1) + "%"; }

std::string Consumption(const burn_window& window) {
  if (window.bad == 0) return "nothing";
  std::string text;
  for (std::size_t i = 0; i < std::size(kBadOutcomes); ++i) {
    if (window.by_outcome[i] == 0) continue;
    if (!text.empty()) text += ", ";
    text += std::string(kOutcomeTitles[i]) + " " +
            std::to_string(window.by_outcome[i]);
  }
  return text;
}

void AppendServices(std::string& page, const burn_report& report) {
  page += "\nError budgets (burn 1 uses the budget up evenly)\n";
  page += Pad("service", 16) + Pad("team", 16) + Pad("objective", 20);
  for (const window_tier& tier : kTiers) page += Pad(tier.name, 8);
  page += Pad("left", 8) + "used up by (3 days)\n";
  for (const service_burn& burn : report.services) {
    const bool all = burn.team.empty();
    page += Pad(all ? burn.service : "", 16) + Pad(all ? "all" : burn.team, 16);
    page += Pad(all ? FixedNumber(burn.good_ratio * 100, 3) + "% in " +
                          std::to_string(burn.latency_ms) + " ms"
                    : "",
                20);
    for (const burn_window& window : burn.windows) {
      page += Pad(window.total == 0 ? "-" : FixedNumber(window.burn, 2), 8);
    }
    page += Pad(Percent(burn.budget_left), 8) +
            Consumption(burn.windows.back()) + "\n";
  }
}

void AppendTeams(std::string& page, const burn_report& report) {
  page += "\nShares (slot time of the last hour)\n";
  page += Pad("team", 16) + Pad("share", 8) + Pad("used", 8) +
          Pad("running", 8) + "waiting\n";
  for (const team_nearness& team : report.teams) {
    page += Pad(team.team, 16) + Pad(Percent(team.share), 8) +
            Pad(Percent(team.used), 8) + Pad(FixedNumber(team.running, 0), 8) +
            FixedNumber(team.waiting, 0) + "\n";
  }
}

void AppendPools(std::string& page, const burn_report& report) {
  page += "\nPools\n";
  page += Pad("pool", 16) + Pad("active", 7) + Pad("out", 5) + Pad("floor", 6) +
          Pad("target", 7) + Pad("moves in, 1 h", 14) + "3 days\n";
  for (const pool_state& pool : report.pools) {
    page += Pad(pool.pool + (pool.spare ? " (buffer)" : ""), 16) +
            Pad(FixedNumber(pool.active, 0), 7) +
            Pad(FixedNumber(pool.unavailable, 0), 5) +
            Pad(std::to_string(pool.floor_hosts), 6) +
            Pad(std::to_string(pool.target_hosts), 7) +
            Pad(std::to_string(pool.moves_hour), 14) +
            std::to_string(pool.moves_longest) + "\n";
  }
}

void AppendWaves(std::string& page, const burn_report& report) {
  if (report.waves.empty()) return;
  page += "\nRoll-outs (hosts)\n";
  page += Pad("wave", 24) + Pad("done", 6) + Pad("in progress", 12) +
          Pad("waiting", 8) + "unhealthy\n";
  for (const wave_progress& wave : report.waves) {
    page += Pad(wave.wave, 24) + Pad(FixedNumber(wave.done, 0), 6) +
            Pad(FixedNumber(wave.in_progress, 0), 12) +
            Pad(FixedNumber(wave.waiting, 0), 8) +
            FixedNumber(wave.unhealthy, 0) + "\n";
  }
}

}  // namespace

std::string FixedNumber(double value, int digits) {
  char buffer[64];
  std::snprintf(buffer, sizeof buffer, "%.*f", digits, value);
  return buffer;
}

std::string DurationText(millis length) {
  const double minutes = static_cast<double>(length) / kMinuteMs;
  if (minutes < 2) return std::to_string(length / 1000) + " s";
  if (minutes < 120) return FixedNumber(minutes, 0) + " min";
  if (minutes < 48 * 60) return FixedNumber(minutes / 60, 1) + " h";
  return FixedNumber(minutes / 1440, 1) + " days";
}

std::string WallTimeText(millis wall_ms) {
  const std::time_t seconds = wall_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char buffer[64];
  std::strftime(buffer, sizeof buffer, "%Y-%m-%d %H:%M:%S UTC", &parts);
  return buffer;
}

std::string TextPage(const burn_report& report) {
  std::string page =
      "Fleet " + report.fleet + ", " + WallTimeText(report.taken_ms) + "\n";
  for (std::size_t tier = 0; tier < kTiers.size(); ++tier) {
    if (report.covered[tier] >= kTiers[tier].window_ms) continue;
    page += std::string("The window of ") + kTiers[tier].name + " covers " +
            DurationText(report.covered[tier]) + " so far.\n";
  }
  for (const std::string& gap : report.gaps)
    page += "Not included: " + gap + "\n";
  AppendServices(page, report);
  AppendTeams(page, report);
  AppendPools(page, report);
  AppendWaves(page, report);
  return page;
}

}  // namespace radishwing::report

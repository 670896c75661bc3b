#include "src/report/html_page.h"

#include <algorithm>
#include <vector>

#include "src/report/svg_bar.h"
#include "src/report/text_page.h"

namespace radishwing::report {
namespace {

constexpr std::string_view kStyle =
    "body{font:14px sans-serif;margin:2em;color:#222}"
    "table{border-collapse:collapse;margin-bottom:2em}"
    "th,td{padding:3px 10px;text-align:left;border-bottom:1px solid #ddd}"
    "td.n{text-align:right}.note{color:#a40}tr.team td{color:#555}";

// A constant burn rate of this value consumes the error budget of 3 days within
// 5 hours.
constexpr double kFastBurnRate = 14.4;

void AppendCell(std::string& page, const std::string& text) {
  page += "<td>" + EscapeHtml(text) + "</td>";
}

void AppendNumberCell(std::string& page, const std::string& text) {
  page += "<td class=\"n\">" + EscapeHtml(text) + "</td>";
}

void AppendTableHead(std::string& page, const std::string& title,
                     const std::vector<std::string>& columns) {
  page += "<h2>" + EscapeHtml(title) + "</h2>\n<table><tr>";
  for (const std::string& column : columns) {
    page += "<th>" + EscapeHtml(column) + "</th>";
  }
  page += "</tr>\n";
}

std::string FormatPercent(double fraction) {
  return FormatFixed(fraction * 100, 1) + "%";
}

const char* BurnRateColour(double burn_rate) {
  if (burn_rate >= kFastBurnRate) return kBadColour;
  return burn_rate > 1 ? kWarningColour : kGoodColour;
}

std::string RenderBadOutcomeBar(const budget_window& window) {
  static constexpr const char* kColours[] = {"#d9a400", "#c0392b", "#7d3c98",
                                             "#2e6da4", "#555555", "#8c564b"};
  static_assert(std::size(kColours) == std::size(kBadOutcomes));
  std::vector<bar_segment> segments;
  for (std::size_t i = 0; i < window.bad_requests_by_outcome.size(); ++i) {
    const double fraction =
        window.bad_request_count == 0
            ? 0
            : static_cast<double>(window.bad_requests_by_outcome[i]) /
                  static_cast<double>(window.bad_request_count);
    segments.push_back({fraction, kColours[i],
                        std::string(kBadOutcomeTitles[i]) + ": " +
                            std::to_string(window.bad_requests_by_outcome[i])});
  }
  return RenderSvgBar(segments);
}

void AppendServices(std::string& page, const fleet_report& report) {
  std::vector<std::string> columns = {"service", "team", "objective"};
  for (const report_window& shown_window : kReportWindows) {
    columns.push_back(std::string("burn ") + shown_window.name);
  }
  columns.insert(columns.end(), {"budget left", "", "used up by"});
  AppendTableHead(page, "Error budgets", columns);
  for (const service_budget& budget : report.services) {
    const bool all_teams = budget.team.empty();
    page += all_teams ? "<tr>" : "<tr class=\"team\">";
    AppendCell(page, budget.service);
    AppendCell(page, all_teams ? "all" : budget.team);
    AppendCell(page, all_teams
                         ? FormatFixed(budget.good_ratio * 100, 3) + "% in " +
                               std::to_string(budget.latency_ms) + " ms"
                         : "");
    for (const budget_window& window : budget.windows) {
      page += "<td class=\"n\">" +
              (window.request_count == 0
                   ? std::string("-")
                   : FormatFixed(window.burn_rate, 2) + " " +
                         RenderSvgBar(
                             {{std::min(window.burn_rate / kFastBurnRate, 1.0),
                               BurnRateColour(window.burn_rate), "burn"}})) +
              "</td>";
    }
    AppendNumberCell(page, FormatPercent(budget.budget_remaining));
    page += "<td>" +
            RenderSvgBar({{std::clamp(budget.budget_remaining, 0.0, 1.0),
                           kGoodColour, "budget left"}}) +
            "</td><td>" + RenderBadOutcomeBar(budget.windows.back()) +
            "</td></tr>\n";
  }
  page += "</table>\n";
}

void AppendTeams(std::string& page, const fleet_report& report) {
  AppendTableHead(page, "Shares, slot time of the last hour",
                  {"team", "share", "used", "", "running", "waiting"});
  for (const team_usage& team : report.teams) {
    page += "<tr>";
    AppendCell(page, team.team);
    AppendNumberCell(page, FormatPercent(team.share));
    AppendNumberCell(page, FormatPercent(team.used_share));
    const double ratio =
        team.share > 0 ? std::min(team.used_share / team.share, 1.0) : 0;
    page += "<td>" + RenderSvgBar({{ratio, kGoodColour, "used of the share"}}) +
            "</td>";
    AppendNumberCell(page, FormatFixed(team.running_requests, 0));
    AppendNumberCell(page, FormatFixed(team.waiting_requests, 0));
    page += "</tr>\n";
  }
  page += "</table>\n";
}

void AppendPools(std::string& page, const fleet_report& report) {
  AppendTableHead(page, "Pools",
                  {"pool", "active hosts", "out", "floor", "target",
                   "moves in, 1 h", "moves in, 3 days"});
  for (const pool_state& pool : report.pools) {
    page += "<tr>";
    AppendCell(page, pool.pool + (pool.spare ? " (buffer)" : ""));
    AppendNumberCell(page, FormatFixed(pool.active_hosts, 0));
    AppendNumberCell(page, FormatFixed(pool.inactive_hosts, 0));
    AppendNumberCell(page, std::to_string(pool.floor_hosts));
    AppendNumberCell(page, std::to_string(pool.target_hosts));
    AppendNumberCell(page, std::to_string(pool.incoming_moves_last_hour));
    AppendNumberCell(page, std::to_string(pool.incoming_moves_longest_window));
    page += "</tr>\n";
  }
  page += "</table>\n";
}

void AppendWaves(std::string& page, const fleet_report& report) {
  AppendTableHead(
      page, "Roll-outs",
      {"wave", "progress", "done", "in progress", "waiting", "unhealthy"});
  for (const wave_progress& wave : report.waves) {
    const double total = wave.done_hosts + wave.in_progress_hosts +
                         wave.waiting_hosts + wave.unhealthy_hosts;
    const double divisor = std::max(total, 1.0);
    page += "<tr>";
    AppendCell(page, wave.wave);
    page +=
        "<td>" +
        RenderSvgBar(
            {{wave.done_hosts / divisor, kGoodColour, "done"},
             {wave.in_progress_hosts / divisor, kWarningColour, "in progress"},
             {wave.unhealthy_hosts / divisor, kBadColour, "unhealthy"}}) +
        "</td>";
    for (const double count : {wave.done_hosts, wave.in_progress_hosts,
                               wave.waiting_hosts, wave.unhealthy_hosts}) {
      AppendNumberCell(page, FormatFixed(count, 0));
    }
    page += "</tr>\n";
  }
  page += "</table>\n";
}

}  // namespace

std::string EscapeHtml(std::string_view text) {
  std::string escaped;
  for (char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string RenderHtml(const fleet_report& report) {
  std::string page =
      "<!doctype html>\n<html lang=\"en\"><head>"
      "<meta charset=\"utf-8\"><title>";
  page += EscapeHtml("Burn report of " + report.fleet_name);
  page += "</title><style>" + std::string(kStyle) + "</style></head><body>\n";
  page +=
      "<h1>" + EscapeHtml("Burn report of " + report.fleet_name) + "</h1>\n<p>";
  page += FormatUtcTime(report.generated_at_ms);
  page += "</p>\n";
  for (std::size_t window_index = 0; window_index < kReportWindows.size();
       ++window_index) {
    if (report.coverage_ms[window_index] >=
        kReportWindows[window_index].length_ms)
      continue;
    page += "<p class=\"note\">" +
            EscapeHtml(std::string("The window of ") +
                       kReportWindows[window_index].name + " covers " +
                       FormatDuration(report.coverage_ms[window_index]) +
                       " so far.") +
            "</p>\n";
  }
  for (const std::string& read_error : report.read_errors) {
    page += "<p class=\"note\">" + EscapeHtml("Not included: " + read_error) +
            "</p>\n";
  }
  AppendServices(page, report);
  AppendTeams(page, report);
  AppendPools(page, report);
  AppendWaves(page, report);
  return page + "</body></html>\n";
}

}  // namespace radishwing::report

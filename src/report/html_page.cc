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

// Above this burn over an hour, 3 days of budget are gone in 5 hours.
constexpr double kFastBurn = 14.4;

void Cell(std::string& page, const std::string& text) {
  page += "<td>" + EscapeHtml(text) + "</td>";
}

void NumberCell(std::string& page, const std::string& text) {
  page += "<td class=\"n\">" + EscapeHtml(text) + "</td>";
}

void Head(std::string& page, const std::string& title,
          const std::vector<std::string>& columns) {
  page += "<h2>" + EscapeHtml(title) + "</h2>\n<table><tr>";
  for (const std::string& column : columns) {
    page += "<th>" + EscapeHtml(column) + "</th>";
  }
  page += "</tr>\n";
}

std::string Percent(double part) { return FixedNumber(part * 100, 1) + "%"; }

const char* BurnColour(double burn) {
  if (burn >= kFastBurn) return kBad;
  return burn > 1 ? kWarning : kGood;
}

std::string ConsumptionBar(const burn_window& window) {
  static constexpr const char* kColours[] = {"#d9a400", "#c0392b", "#7d3c98",
                                             "#2e6da4", "#555555", "#8c564b"};
  static_assert(std::size(kColours) == std::size(kBadOutcomes));
  std::vector<bar_part> parts;
  for (std::size_t i = 0; i < window.by_outcome.size(); ++i) {
    const double part = window.bad == 0
                            ? 0
                            : static_cast<double>(window.by_outcome[i]) /
                                  static_cast<double>(window.bad);
    parts.push_back({part, kColours[i],
                     std::string(kOutcomeTitles[i]) + ": " +
                         std::to_string(window.by_outcome[i])});
  }
  return SvgBar(parts);
}

void AppendServices(std::string& page, const burn_report& report) {
  std::vector<std::string> columns = {"service", "team", "objective"};
  for (const window_tier& tier : kTiers) {
    columns.push_back(std::string("burn ") + tier.name);
  }
  columns.insert(columns.end(), {"budget left", "", "used up by"});
  Head(page, "Error budgets", columns);
  for (const service_burn& burn : report.services) {
    const bool all = burn.team.empty();
    page += all ? "<tr>" : "<tr class=\"team\">";
    Cell(page, burn.service);
    Cell(page, all ? "all" : burn.team);
    Cell(page, all ? FixedNumber(burn.good_ratio * 100, 3) + "% in " +
                         std::to_string(burn.latency_ms) + " ms"
                   : "");
    for (const burn_window& window : burn.windows) {
      page += "<td class=\"n\">" +
              (window.total == 0
                   ? std::string("-")
                   : FixedNumber(window.burn, 2) + " " +
                         SvgBar({{std::min(window.burn / kFastBurn, 1.0),
                                  BurnColour(window.burn), "burn"}})) +
              "</td>";
    }
    NumberCell(page, Percent(burn.budget_left));
    page += "<td>" +
            SvgBar({{std::clamp(burn.budget_left, 0.0, 1.0), kGood,
                     "budget left"}}) +
            "</td><td>" + ConsumptionBar(burn.windows.back()) + "</td></tr>\n";
  }
  page += "</table>\n";
}

void AppendTeams(std::string& page, const burn_report& report) {
  Head(page, "Shares, slot time of the last hour",
       {"team", "share", "used", "", "running", "waiting"});
  for (const team_nearness& team : report.teams) {
    page += "<tr>";
    Cell(page, team.team);
    NumberCell(page, Percent(team.share));
    NumberCell(page, Percent(team.used));
    const double near =
        team.share > 0 ? std::min(team.used / team.share, 1.0) : 0;
    page += "<td>" + SvgBar({{near, kGood, "used of the share"}}) + "</td>";
    NumberCell(page, FixedNumber(team.running, 0));
    NumberCell(page, FixedNumber(team.waiting, 0));
    page += "</tr>\n";
  }
  page += "</table>\n";
}

void AppendPools(std::string& page, const burn_report& report) {
  Head(page, "Pools",
       {"pool", "active hosts", "out", "floor", "target", "moves in, 1 h",
        "moves in, 3 days"});
  for (const pool_state& pool : report.pools) {
    page += "<tr>";
    Cell(page, pool.pool + (pool.spare ? " (buffer)" : ""));
    NumberCell(page, FixedNumber(pool.active, 0));
    NumberCell(page, FixedNumber(pool.unavailable, 0));
    NumberCell(page, std::to_string(pool.floor_hosts));
    NumberCell(page, std::to_string(pool.target_hosts));
    NumberCell(page, std::to_string(pool.moves_hour));
    NumberCell(page, std::to_string(pool.moves_longest));
    page += "</tr>\n";
  }
  page += "</table>\n";
}

void AppendWaves(std::string& page, const burn_report& report) {
  Head(page, "Roll-outs",
       {"wave", "progress", "done", "in progress", "waiting", "unhealthy"});
  for (const wave_progress& wave : report.waves) {
    const double total =
        wave.done + wave.in_progress + wave.waiting + wave.unhealthy;
    const double whole = std::max(total, 1.0);
    page += "<tr>";
    Cell(page, wave.wave);
    page += "<td>" +
            SvgBar({{wave.done / whole, kGood, "done"},
                    {wave.in_progress / whole, kWarning, "in progress"},
                    {wave.unhealthy / whole, kBad, "unhealthy"}}) +
            "</td>";
    for (const double count :
         {wave.done, wave.in_progress, wave.waiting, wave.unhealthy}) {
      NumberCell(page, FixedNumber(count, 0));
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

std::string HtmlPage(const burn_report& report) {
  std::string page =
      "<!doctype html>\n<html lang=\"en\"><head>"
      "<meta charset=\"utf-8\"><title>";
  page += EscapeHtml("Burn report of " + report.fleet);
  page += "</title><style>" + std::string(kStyle) + "</style></head><body>\n";
  page += "<h1>" + EscapeHtml("Burn report of " + report.fleet) + "</h1>\n<p>";
  page += WallTimeText(report.taken_ms);
  page += "</p>\n";
  for (std::size_t tier = 0; tier < kTiers.size(); ++tier) {
    if (report.covered[tier] >= kTiers[tier].window_ms) continue;
    page += "<p class=\"note\">" +
            EscapeHtml(std::string("The window of ") + kTiers[tier].name +
                       " covers " + DurationText(report.covered[tier]) +
                       " so far.") +
            "</p>\n";
  }
  for (const std::string& gap : report.gaps) {
    page +=
        "<p class=\"note\">" + EscapeHtml("Not included: " + gap) + "</p>\n";
  }
  AppendServices(page, report);
  AppendTeams(page, report);
  AppendPools(page, report);
  AppendWaves(page, report);
  return page + "</body></html>\n";
}

}  // namespace radishwing::report

#include "src/report/fleet_report.h"

#include <algorithm>
#include <set>

#include "src/report/gauge_view.h"

namespace radishwing::report {
namespace {

// Indexes into kReportWindows: the window of one hour and the longest window.
constexpr std::size_t kHourWindow = 1;
constexpr std::size_t kLongestWindow = kReportWindows.size() - 1;

using record_map = std::map<std::string, windowed_counters>;

const windowed_counters& FindRecord(const record_map& records,
                                    const std::string& name) {
  static const windowed_counters kEmpty;
  const auto found = records.find(name);
  return found == records.end() ? kEmpty : found->second;
}

budget_window MakeBudgetWindow(const windowed_counters& record,
                               const std::vector<std::string>& teams,
                               std::size_t window_index, double good_ratio) {
  budget_window window;
  for (const std::string& team : teams) {
    window.request_count += record.SumIncreases(team + "/good", window_index);
    for (std::size_t i = 0; i < std::size(kBadOutcomes); ++i) {
      const std::uint64_t count =
          record.SumIncreases(team + "/" + kBadOutcomes[i], window_index);
      window.bad_requests_by_outcome[i] += count;
      window.bad_request_count += count;
    }
  }
  window.request_count += window.bad_request_count;
  if (window.request_count > 0) {
    window.burn_rate = static_cast<double>(window.bad_request_count) /
                       static_cast<double>(window.request_count) /
                       (1 - good_ratio);
  }
  return window;
}

service_budget MakeServiceBudget(const std::string& service,
                                 const settings::service_settings& settings,
                                 const windowed_counters& record,
                                 const std::string& team,
                                 const std::vector<std::string>& teams) {
  service_budget budget;
  budget.service = service;
  budget.team = team;
  budget.good_ratio = settings.objective.good_ratio;
  budget.latency_ms = settings.objective.latency_ms;
  for (std::size_t window_index = 0; window_index < kReportWindows.size();
       ++window_index) {
    budget.windows[window_index] =
        MakeBudgetWindow(record, teams, window_index, budget.good_ratio);
  }
  budget.budget_remaining = 1 - budget.windows[kLongestWindow].burn_rate;
  return budget;
}

void AddServices(fleet_report& report, const settings::fleet_settings& settings,
                 const record_map& records) {
  for (const auto& [name, service] : settings.services) {
    const windowed_counters& record =
        FindRecord(records, ServiceRecordName(name));
    // "-" stands for requests to open services, because these requests have no
    // team. "other" stands for teams that were removed from the settings within
    // the window.
    std::vector<std::string> teams = {"-", "other"};
    for (const auto& [team, unused] : settings.teams) teams.push_back(team);
    report.services.push_back(
        MakeServiceBudget(name, service, record, "", teams));
    for (const std::string& team : teams) {
      service_budget budget =
          MakeServiceBudget(name, service, record, team, {team});
      if (budget.windows[kLongestWindow].request_count > 0) {
        report.services.push_back(std::move(budget));
      }
    }
  }
}

// Returns the number of requests that all runners in the state `serving` can
// process at once.
double CountFleetSlots(const settings::fleet_settings& settings,
                       const gauge_view& gauges) {
  double slots = 0;
  for (const auto& [name, service] : settings.services) {
    slots += service.runner_slots *
             gauges.MaxOverNodes("radishwing_runners",
                                 {{"service", name}, {"state", "serving"}});
  }
  return slots;
}

void AddTeams(fleet_report& report, const settings::fleet_settings& settings,
              const gauge_view& gauges, const record_map& records) {
  const windowed_counters& fleet = FindRecord(records, kFleetRecordName);
  const double slot_ms = CountFleetSlots(settings, gauges) *
                         static_cast<double>(fleet.CoverageMs(kHourWindow));
  for (const auto& [name, team] : settings.teams) {
    team_usage usage;
    usage.team = name;
    usage.share = team.share;
    if (slot_ms > 0) {
      usage.used_share = static_cast<double>(fleet.SumIncreases(
                             "slot_ms/" + name, kHourWindow)) /
                         slot_ms;
    }
    usage.waiting_requests =
        gauges.SumOverNodes("radishwing_waiting_requests", {{"team", name}});
    usage.running_requests =
        gauges.SumOverNodes("radishwing_running_requests", {{"team", name}});
    report.teams.push_back(std::move(usage));
  }
}

void AddPools(fleet_report& report, const settings::fleet_settings& settings,
              const gauge_view& gauges, const record_map& records) {
  const windowed_counters& fleet = FindRecord(records, kFleetRecordName);
  const auto hosts = [&](const std::string& pool, const char* state) {
    return gauges.SumOfDataCentreMaxima("radishwing_pool_hosts",
                                        {{"pool", pool}, {"state", state}});
  };
  for (const auto& [name, pool] : settings.pools) {
    pool_state state;
    state.pool = name;
    state.spare = pool.spare;
    state.active_hosts = hosts(name, "active");
    for (const char* other : {"draining", "empty", "maintenance", "failed"}) {
      state.inactive_hosts += hosts(name, other);
    }
    state.floor_hosts = pool.floor_hosts;
    state.target_hosts = pool.target_hosts;
    state.incoming_moves_last_hour =
        fleet.SumIncreases("moves/" + name, kHourWindow);
    state.incoming_moves_longest_window =
        fleet.SumIncreases("moves/" + name, kLongestWindow);
    report.pools.push_back(std::move(state));
  }
}

void AddWaves(fleet_report& report, const settings::fleet_settings& settings,
              const gauge_view& gauges) {
  const auto hosts = [&](const std::string& wave, const char* state) {
    return gauges.SumOfDataCentreMaxima("radishwing_wave_hosts",
                                        {{"wave", wave}, {"state", state}});
  };
  for (const auto& [name, unused] : settings.waves) {
    report.waves.push_back({name, hosts(name, "waiting"),
                            hosts(name, "in_progress"), hosts(name, "done"),
                            hosts(name, "unhealthy")});
  }
}

}  // namespace

fleet_report MakeFleetReport(
    const settings::fleet_settings& settings, std::span<const scrape> scrapes,
    const std::map<std::string, windowed_counters>& records, millis now) {
  fleet_report report;
  report.fleet_name = settings.name;
  report.generated_at_ms = now;
  report.successful_scrapes = scrapes.size();
  // The record of a service may be missing or newer than the other records, so
  // the report takes the longest coverage of any record.
  for (const auto& [name, record] : records) {
    for (std::size_t window_index = 0; window_index < kReportWindows.size();
         ++window_index) {
      report.coverage_ms[window_index] = std::max(
          report.coverage_ms[window_index], record.CoverageMs(window_index));
    }
  }
  const gauge_view gauges(scrapes);
  AddServices(report, settings, records);
  AddTeams(report, settings, gauges, records);
  AddPools(report, settings, gauges, records);
  AddWaves(report, settings, gauges);
  return report;
}

}  // namespace radishwing::report

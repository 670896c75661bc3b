#include "src/report/fleet_report.h"

#include <algorithm>
#include <set>

#include "src/report/gauge_view.h"

namespace radishwing::report {
namespace {

// Indexes into kTiers of the one-hour window and of the longest window.
constexpr std::size_t kHourTier = 1;
constexpr std::size_t kLongestTier = kTiers.size() - 1;

using record_map = std::map<std::string, windowed_counters>;

const windowed_counters& FindRecord(const record_map& records,
                                    const std::string& name) {
  static const windowed_counters kEmpty;
  const auto found = records.find(name);
  return found == records.end() ? kEmpty : found->second;
}

budget_window MakeBudgetWindow(const windowed_counters& record,
                               const std::vector<std::string>& teams,
                               std::size_t tier, double good_ratio) {
  budget_window window;
  for (const std::string& team : teams) {
    window.total += record.Sum(team + "/good", tier);
    for (std::size_t i = 0; i < std::size(kBadOutcomes); ++i) {
      const std::uint64_t count =
          record.Sum(team + "/" + kBadOutcomes[i], tier);
      window.bad_by_outcome[i] += count;
      window.bad_total += count;
    }
  }
  window.total += window.bad_total;
  if (window.total > 0) {
    window.burn_rate = static_cast<double>(window.bad_total) /
                       static_cast<double>(window.total) / (1 - good_ratio);
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
  for (std::size_t tier = 0; tier < kTiers.size(); ++tier) {
    budget.windows[tier] =
        MakeBudgetWindow(record, teams, tier, budget.good_ratio);
  }
  budget.budget_remaining = 1 - budget.windows[kLongestTier].burn_rate;
  return budget;
}

void AddServices(fleet_report& report, const settings::fleet_settings& settings,
                 const record_map& records) {
  for (const auto& [name, service] : settings.services) {
    const windowed_counters& record =
        FindRecord(records, ServiceRecordName(name));
    // "-" counts requests of open services, which have no team. "other" is for
    // teams that left the settings within the window.
    std::vector<std::string> teams = {"-", "other"};
    for (const auto& [team, unused] : settings.teams) teams.push_back(team);
    report.services.push_back(
        MakeServiceBudget(name, service, record, "", teams));
    for (const std::string& team : teams) {
      service_budget budget =
          MakeServiceBudget(name, service, record, team, {team});
      if (budget.windows[kLongestTier].total > 0) {
        report.services.push_back(std::move(budget));
      }
    }
  }
}

/// Number of slots of all serving runners.
double FleetSlots(const settings::fleet_settings& settings,
                  const gauge_view& gauges) {
  double slots = 0;
  for (const auto& [name, service] : settings.services) {
    slots += service.runner_slots *
             gauges.MaxOverDaemons("radishwing_runners",
                                   {{"service", name}, {"state", "serving"}});
  }
  return slots;
}

void AddTeams(fleet_report& report, const settings::fleet_settings& settings,
              const gauge_view& gauges, const record_map& records) {
  const windowed_counters& fleet = FindRecord(records, kFleetRecordName);
  const double slot_ms = FleetSlots(settings, gauges) *
                         static_cast<double>(fleet.Coverage(kHourTier));
  for (const auto& [name, team] : settings.teams) {
    team_usage usage;
    usage.team = name;
    usage.share = team.share;
    if (slot_ms > 0) {
      usage.used_share =
          static_cast<double>(fleet.Sum("slot_ms/" + name, kHourTier)) /
          slot_ms;
    }
    usage.waiting =
        gauges.SumOverDaemons("radishwing_waiting_requests", {{"team", name}});
    usage.running =
        gauges.SumOverDaemons("radishwing_running_requests", {{"team", name}});
    report.teams.push_back(std::move(usage));
  }
}

void AddPools(fleet_report& report, const settings::fleet_settings& settings,
              const gauge_view& gauges, const record_map& records) {
  const windowed_counters& fleet = FindRecord(records, kFleetRecordName);
  const auto hosts = [&](const std::string& pool, const char* state) {
    return gauges.SumOfDataCentreMax("radishwing_pool_hosts",
                                     {{"pool", pool}, {"state", state}});
  };
  for (const auto& [name, pool] : settings.pools) {
    pool_state state;
    state.pool = name;
    state.spare = pool.spare;
    state.active_hosts = hosts(name, "active");
    for (const char* other : {"draining", "empty", "maintenance", "failed"}) {
      state.unavailable_hosts += hosts(name, other);
    }
    state.floor_hosts = pool.floor_hosts;
    state.target_hosts = pool.target_hosts;
    state.moves_last_hour = fleet.Sum("moves/" + name, kHourTier);
    state.moves_longest_window = fleet.Sum("moves/" + name, kLongestTier);
    report.pools.push_back(std::move(state));
  }
}

void AddWaves(fleet_report& report, const settings::fleet_settings& settings,
              const gauge_view& gauges) {
  const auto hosts = [&](const std::string& wave, const char* state) {
    return gauges.SumOfDataCentreMax("radishwing_wave_hosts",
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
  report.scraped_daemons = scrapes.size();
  // A service's record may be missing or newer than the others, so the longest
  // coverage determines how far back the stored scrapes reach.
  for (const auto& [name, record] : records) {
    for (std::size_t tier = 0; tier < kTiers.size(); ++tier) {
      report.coverage_ms[tier] =
          std::max(report.coverage_ms[tier], record.Coverage(tier));
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

#include "src/report/burn_report.h"

#include <algorithm>
#include <set>

#include "src/report/gauge_view.h"

namespace radishwing::report {
namespace {

// Position of the windows of one hour and of the longest one in kTiers.
constexpr std::size_t kHour = 1;
constexpr std::size_t kLongest = kTiers.size() - 1;

using record_map = std::map<std::string, window_record>;

const window_record& FindRecord(const record_map& records,
                                const std::string& name) {
  static const window_record kEmpty;
  const auto found = records.find(name);
  return found == records.end() ? kEmpty : found->second;
}

burn_window MakeWindow(const window_record& record,
                       const std::vector<std::string>& teams, std::size_t tier,
                       double good_ratio) {
  burn_window window;
  for (const std::string& team : teams) {
    window.total += record.Sum(team + "/good", tier);
    for (std::size_t i = 0; i < std::size(kBadOutcomes); ++i) {
      const std::uint64_t count =
          record.Sum(team + "/" + kBadOutcomes[i], tier);
      window.by_outcome[i] += count;
      window.bad += count;
    }
  }
  window.total += window.bad;
  if (window.total > 0) {
    window.burn = static_cast<double>(window.bad) /
                  static_cast<double>(window.total) / (1 - good_ratio);
  }
  return window;
}

service_burn MakeBurn(const std::string& service,
                      const settings::service_settings& settings,
                      const window_record& record, const std::string& team,
                      const std::vector<std::string>& teams) {
  service_burn burn;
  burn.service = service;
  burn.team = team;
  burn.good_ratio = settings.objective.good_ratio;
  burn.latency_ms = settings.objective.latency_ms;
  for (std::size_t tier = 0; tier < kTiers.size(); ++tier) {
    burn.windows[tier] = MakeWindow(record, teams, tier, burn.good_ratio);
  }
  burn.budget_left = 1 - burn.windows[kLongest].burn;
  return burn;
}

void AddServices(burn_report& report, const settings::fleet_settings& settings,
                 const record_map& records) {
  for (const auto& [name, service] : settings.services) {
    const window_record& record = FindRecord(records, ServiceRecord(name));
    // Open services have requests without a team; a team may have left the
    // settings within the window.
    std::vector<std::string> teams = {"-", "other"};
    for (const auto& [team, unused] : settings.teams) teams.push_back(team);
    report.services.push_back(MakeBurn(name, service, record, "", teams));
    for (const std::string& team : teams) {
      service_burn burn = MakeBurn(name, service, record, team, {team});
      if (burn.windows[kLongest].total > 0) {
        report.services.push_back(std::move(burn));
      }
    }
  }
}

/// Slots of all runners in service.
double FleetSlots(const settings::fleet_settings& settings,
                  const gauge_view& gauges) {
  double slots = 0;
  for (const auto& [name, service] : settings.services) {
    slots += service.runner_slots *
             gauges.Largest("radishwing_runners",
                            {{"service", name}, {"state", "serving"}});
  }
  return slots;
}

void AddTeams(burn_report& report, const settings::fleet_settings& settings,
              const gauge_view& gauges, const record_map& records) {
  const window_record& fleet = FindRecord(records, kFleetRecord);
  const double slot_ms =
      FleetSlots(settings, gauges) * static_cast<double>(fleet.Covered(kHour));
  for (const auto& [name, team] : settings.teams) {
    team_nearness nearness;
    nearness.team = name;
    nearness.share = team.share;
    if (slot_ms > 0) {
      nearness.used =
          static_cast<double>(fleet.Sum("slot_ms/" + name, kHour)) / slot_ms;
    }
    nearness.waiting =
        gauges.Total("radishwing_waiting_requests", {{"team", name}});
    nearness.running =
        gauges.Total("radishwing_running_requests", {{"team", name}});
    report.teams.push_back(std::move(nearness));
  }
}

void AddPools(burn_report& report, const settings::fleet_settings& settings,
              const gauge_view& gauges, const record_map& records) {
  const window_record& fleet = FindRecord(records, kFleetRecord);
  const auto hosts = [&](const std::string& pool, const char* state) {
    return gauges.PerDataCentre("radishwing_pool_hosts",
                                {{"pool", pool}, {"state", state}});
  };
  for (const auto& [name, pool] : settings.pools) {
    pool_state state;
    state.pool = name;
    state.spare = pool.spare;
    state.active = hosts(name, "active");
    for (const char* other : {"draining", "empty", "maintenance", "failed"}) {
      state.unavailable += hosts(name, other);
    }
    state.floor_hosts = pool.floor_hosts;
    state.target_hosts = pool.target_hosts;
    state.moves_hour = fleet.Sum("moves/" + name, kHour);
    state.moves_longest = fleet.Sum("moves/" + name, kLongest);
    report.pools.push_back(std::move(state));
  }
}

void AddWaves(burn_report& report, const settings::fleet_settings& settings,
              const gauge_view& gauges) {
  const auto hosts = [&](const std::string& wave, const char* state) {
    return gauges.PerDataCentre("radishwing_wave_hosts",
                                {{"wave", wave}, {"state", state}});
  };
  for (const auto& [name, unused] : settings.waves) {
    report.waves.push_back({name, hosts(name, "waiting"),
                            hosts(name, "in_progress"), hosts(name, "done"),
                            hosts(name, "unhealthy")});
  }
}

}  // namespace

burn_report MakeBurnReport(const settings::fleet_settings& settings,
                           std::span<const scrape> scrapes,
                           const std::map<std::string, window_record>& records,
                           millis now) {
  burn_report report;
  report.fleet = settings.name;
  report.taken_ms = now;
  report.daemons_read = scrapes.size();
  // Records of services without requests are missing; the longest one tells
  // since when scrapes have been kept.
  for (const auto& [name, record] : records) {
    for (std::size_t tier = 0; tier < kTiers.size(); ++tier) {
      report.covered[tier] =
          std::max(report.covered[tier], record.Covered(tier));
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

#include <map>

#include "src/entry/entry_core.h"

namespace radishwing::entry {

service_metrics& entry_core::MetricsOf(const request_state& state) {
  auto& by_team = state.service->metrics;
  std::uint32_t team = state.team ? state.team->index : 0;
  if (by_team.size() <= team) by_team.resize(team + 1);
  if (!by_team[team]) {
    by_team[team] = std::make_unique<service_metrics>(
        state.service->name, directory_.Team(team).name, options_.registry);
    metrics_.push_back(by_team[team].get());
  }
  return *by_team[team];
}

void entry_core::CountRetry(const request_state& state) {
  MetricsOf(state).CountRetry();
}

void entry_core::CountVerdict(const request_state& state,
                              request_verdict verdict) {
  if (!state.service) return;
  millis took = Now() - state.received_at;
  if (verdict == request_verdict::kGood &&
      took > state.service->settings.objective.latency_ms) {
    verdict = request_verdict::kLate;
  }
  MetricsOf(state).Count(verdict, static_cast<double>(took) / 1000);
}

void entry_core::Publish() {
  rpc::entry_report report;
  report.settings_revision = directory_.Revision();
  report.table_version = table_version_;
  for (auto& [name, pool] : directory_.Pools()) {
    for (const auto& team : directory_.Teams()) {
      rpc::team_usage usage;
      usage.slot_ms = pool->slot_ms[team->index];
      usage.queued = pool->queue.WaitingOfTeam(team->index);
      usage.running = pool->queue.RunningOfTeam(team->index);
      if (usage.slot_ms + usage.queued + usage.running == 0) continue;
      usage.team = team->name;
      usage.pool = name;
      report.usage.push_back(std::move(usage));
    }
    pool->slot_ms.clear();
  }
  std::map<std::string_view, std::uint32_t> by_host;
  for (const auto& [service, group] : runners_.Groups()) {
    for (const auto& runner : group->Runners()) {
      if (runner->in_flight > 0) {
        by_host[runner->info.host] += runner->in_flight;
      }
    }
  }
  for (const lingering_run& run : lingering_) ++by_host[run.host];
  for (const auto& [host, count] : by_host) {
    report.in_flight.push_back({std::string(host), count});
  }
  for (const auto& team : directory_.Teams()) {
    std::uint32_t held = team->tokens.Free() + team->tokens.InUse();
    if (held == 0) continue;
    report.held_tokens.push_back({team->name, held, team->tokens.Epoch()});
  }
  for (service_metrics* metrics : metrics_) {
    metrics->ShowPresent();
    report.counters.push_back({metrics->service, metrics->team,
                               metrics->answered, metrics->refused,
                               metrics->unknown, metrics->late});
  }
  board_.Publish(std::move(report));
}

}  // namespace radishwing::entry

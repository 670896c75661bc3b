#include <map>

#include "src/entry/entry_core.h"

namespace radishwing::entry {

using requests::outcome;

service_metrics& entry_core::MetricsOf(const request_state& state) {
  auto& by_team = state.service->metrics;
  std::uint32_t team = state.team ? state.team->index : 0;
  if (by_team.size() <= team) by_team.resize(team + 1);
  if (!by_team[team]) {
    by_team[team] = std::make_shared<service_metrics>();
    by_team[team]->service = state.service->name;
    by_team[team]->team = directory_.Team(team).name;
    std::lock_guard<std::mutex> lock(metrics_mutex_);
    metrics_.push_back(by_team[team]);
  }
  return *by_team[team];
}

std::vector<std::shared_ptr<const service_metrics>> entry_core::Metrics()
    const {
  std::lock_guard<std::mutex> lock(metrics_mutex_);
  return {metrics_.begin(), metrics_.end()};
}

void entry_core::CountAttempt(const request_state& state) {
  MetricsOf(state).attempts.Add(1);
}

void entry_core::CountRetry(const request_state& state) {
  MetricsOf(state).retries.Add(1);
}

void entry_core::CountOutcome(const request_state& state, outcome how) {
  if (!state.service) return;
  service_metrics& metrics = MetricsOf(state);
  millis took = Now() - state.received_at;
  switch (how) {
    case outcome::kAnswered:
      metrics.answered.Add(1);
      metrics.ObserveLatency(took);
      if (took > state.service->settings.objective.latency_ms) {
        metrics.late.Add(1);
      }
      break;
    case outcome::kUnknown:
      metrics.unknown.Add(1);
      break;
    case outcome::kNone:
    case outcome::kNotRun:
      metrics.refused.Add(1);
      break;
  }
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
  for (const auto& metrics : metrics_) {
    report.counters.push_back({metrics->service, metrics->team,
                               metrics->answered.Get(), metrics->refused.Get(),
                               metrics->unknown.Get(), metrics->late.Get()});
  }
  board_.Publish(std::move(report));
}

}  // namespace radishwing::entry

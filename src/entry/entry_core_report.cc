#include <map>

#include "src/entry/entry_core.h"

namespace radishwing::entry {

using metrics::metric;

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
  MetricsOf(state).CountRetry("sent");
}

void entry_core::CountNoRetry(const request_state& state) {
  MetricsOf(state).CountRetry("budget_used_up");
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

void entry_core::CountFullRing() {
  if (!options_.registry) return;
  metrics::series labels;
  labels.value = "serve_to_link";
  options_.registry->Counter(metric::kRingDrops, labels).Increment();
}

void entry_core::CountBytes(const request_state& state, std::uint64_t request,
                            std::uint64_t response) {
  if (state.service) MetricsOf(state).CountBytes(request, response);
}

void entry_core::ShowGauges() {
  metrics::metric_registry* registry = options_.registry;
  if (!registry) return;
  auto show = [registry](metric id, double number, const char* value = "") {
    metrics::series labels;
    labels.value = value;
    registry->Gauge(id, labels).Set(number);
  };
  std::size_t runner_connections = 0;
  for (const auto& link : runner_links_) {
    if (link) runner_connections += link->pool->Open();
  }
  show(metric::kConnections, static_cast<double>(callers_.size()), "caller");
  show(metric::kConnections, static_cast<double>(runner_connections), "runner");
  show(metric::kCutOffSeconds,
       static_cast<double>(std::max<millis>(0, CutOffMs())) / 1000);
  show(metric::kSettingsRevision, static_cast<double>(directory_.Revision()));
  show(metric::kTableVersion, static_cast<double>(table_version_));
  show(metric::kReady, has_snapshot_ && !Closing() ? 1 : 0);
  ShowRunners();
}

void entry_core::ShowRunners() {
  for (const auto& service : directory_.Services()) {
    int serving = 0;
    int ejected = 0;
    int leaving = 0;
    for (const auto& runner : service->group->Runners()) {
      if (!runner->AcceptsWork()) {
        ++leaving;
      } else {
        ++(runner->failures.Out() ? ejected : serving);
      }
    }
    auto show = [&](const char* state, int number) {
      metrics::series labels;
      labels.service = service->name;
      labels.value = state;
      options_.registry->Gauge(metric::kRunners, labels).Set(number);
    };
    show("serving", serving);
    show("ejected", ejected);
    show("leaving", leaving);
  }
}

void entry_core::CountSlotTime(const std::string& pool, const team_state& team,
                               std::uint64_t slot_ms) {
  if (!options_.registry || slot_ms == 0) return;
  metrics::series labels;
  labels.pool = pool;
  labels.team = team.name;
  options_.registry->Counter(metric::kSlotSeconds, labels)
      .Increment(static_cast<double>(slot_ms) / 1000);
}

void entry_core::ReportInFlight(rpc::entry_report& report) {
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
}

void entry_core::Publish() {
  rpc::entry_report report;
  report.settings_revision = directory_.Revision();
  report.table_version = table_version_;
  for (auto& [name, pool] : directory_.Pools()) {
    // With 106 pools and 250 teams, looking at every pair cost 3% of a core.
    if (pool->queue.Idle() && pool->slot_ms.empty()) continue;
    for (const auto& team : directory_.Teams()) {
      rpc::team_usage usage;
      usage.slot_ms = pool->slot_ms[team->index];
      usage.queued = pool->queue.WaitingOfTeam(team->index);
      usage.running = pool->queue.RunningOfTeam(team->index);
      if (usage.slot_ms + usage.queued + usage.running == 0) continue;
      usage.team = team->name;
      CountSlotTime(name, *team, usage.slot_ms);
      usage.pool = name;
      report.usage.push_back(std::move(usage));
    }
    pool->slot_ms.clear();
  }
  ReportInFlight(report);
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

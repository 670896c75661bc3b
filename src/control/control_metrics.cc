#include "src/control/control_metrics.h"

#include <map>
#include <string>

#include "src/control/control_core.h"

namespace radishwing::control {
namespace {

using maintenance::host_state;
using metrics::metric;
using metrics::metric_registry;

void Hosts(control_core& core, metric_registry& registry) {
  constexpr host_state kStates[] = {
      host_state::kActive, host_state::kDraining, host_state::kEmpty,
      host_state::kMaintenance, host_state::kFailed};
  std::map<std::string, std::map<host_state, int>> pools;
  for (const auto& [name, pool] : core.Settings().Tree()->pools) pools[name];
  host_board& board = core.Hosts();
  for (const auto& [host, view] : board.Poller().Sources().records) {
    if (view.data_centre != board.Options().data_centre || !view.record) {
      continue;
    }
    ++pools[view.record->pool][view.record->state];
  }
  for (auto& [pool, states] : pools) {
    for (host_state state : kStates) {
      metrics::series labels;
      labels.pool = pool;
      labels.value = maintenance::HostStateName(state);
      registry.Gauge(metric::kPoolHosts, labels).Set(states[state]);
    }
  }
}

void Waves(control_core& core, metric_registry& registry) {
  for (const auto& [name, wave] : core.Settings().Tree()->waves) {
    const auto now = core.Waves().Progress(name);
    auto set = [&, wave_name = name](const char* state, std::uint32_t count) {
      metrics::series labels;
      labels.wave = wave_name;
      labels.value = state;
      registry.Gauge(metric::kWaveHosts, labels).Set(count);
    };
    set("waiting", now.waiting);
    set("in_progress", now.in_progress);
    set("done", now.done);
    set("unhealthy", now.unhealthy);
  }
}

void Tokens(control_core& core, metric_registry& registry) {
  for (const auto& [team, state] : core.Tokens().Teams()) {
    auto set = [&, name = team](const char* what, std::uint32_t count) {
      metrics::series labels;
      labels.team = name;
      labels.value = what;
      registry.Gauge(metric::kTokens, labels).Set(count);
    };
    set("free", state->account.Free());
    set("entry", state->account.InUse());
    set("pending", state->account.Excess());
    if (!state->record) continue;
    metrics::series labels;
    labels.team = team;
    registry.Gauge(metric::kTeamLimit, labels).Set(state->record->limit);
  }
}

void Members(control_core& core, metric_registry& registry) {
  std::map<std::string, int> counts = {
      {"alive", 0}, {"suspected", 0}, {"failed", 0}};
  for (const membership::member& row : core.Mesh().Rows()) {
    switch (row.state) {
      case membership::member_state::kAlive:
        ++counts["alive"];
        break;
      case membership::member_state::kSuspect:
        ++counts["suspected"];
        break;
      case membership::member_state::kFailed:
        ++counts["failed"];
        break;
      case membership::member_state::kLeft:
        break;
    }
  }
  for (const auto& [state, count] : counts) {
    metrics::series labels;
    labels.value = state;
    registry.Gauge(metric::kMembers, labels).Set(count);
  }
}

void Jobs(control_core& core, metric_registry& registry) {
  for (const auto& [service, states] : core.Jobs().Counts().by_service) {
    for (const char* state : {"waiting", "running", "unknown"}) {
      auto found = states.find(state);
      metrics::series labels;
      labels.service = service;
      labels.value = state;
      registry.Gauge(metric::kJobs, labels)
          .Set(found == states.end() ? 0 : found->second);
    }
  }
}

}  // namespace

void UpdateMetrics(control_core& core, metric_registry& registry) {
  registry.Gauge(metric::kSettingsRevision).Set(core.Settings().Revision());
  registry.Gauge(metric::kTableVersion).Set(core.Table().Version());
  registry.Gauge(metric::kCutOffSeconds).Set(core.CutOffMs() / 1000.0);
  registry.Gauge(metric::kReady).Set(core.Ready() ? 1 : 0);
  Members(core, registry);
  Tokens(core, registry);
  Jobs(core, registry);
  if (!core.Settings().Tree()) return;
  Hosts(core, registry);
  Waves(core, registry);
}

}  // namespace radishwing::control

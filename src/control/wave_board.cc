#include "src/control/wave_board.h"

#include <algorithm>
#include <boost/json.hpp>

namespace radishwing::control {
namespace {

namespace json = boost::json;
using maintenance::wave_action;
using maintenance::wave_step;

constexpr std::string_view kStates[] = {"planned", "running", "paused",
                                        "aborted"};

planned_drain DrainOf(const std::string& wave, const wave_action& action) {
  planned_drain drain;
  drain.host = action.host;
  drain.next_pool = action.next_pool;
  if (action.step == wave_step::kLend) {
    drain.reason = maintenance::kLendReason;
  } else if (action.maintain) {
    drain.reason = std::string(kWaveReason) + wave;
  } else {
    drain.reason = kMoveReason;
  }
  return drain;
}

}  // namespace

maintenance::wave_view wave_board::View(const std::string& wave) {
  const settings::fleet_settings& tree = *board_.Keeper().Tree();
  const settings::wave_settings& wanted = tree.waves.at(wave);
  maintenance::wave_view view;
  view.wave = wave;
  view.state = wanted.state;
  for (const auto& [name, pool] : tree.pools) {
    maintenance::wave_pool next;
    next.covered = wanted.pools.empty() ||
                   std::find(wanted.pools.begin(), wanted.pools.end(), name) !=
                       wanted.pools.end();
    next.spare = pool.spare;
    next.wave_hosts_max = pool.wave_hosts_max;
    const auto* ledger = board_.Ledger(name);
    if (ledger == nullptr || (!next.covered && !next.spare)) continue;
    next.ledger = *ledger;
    for (const auto& [host, held] : board_.Poller().Sources().records) {
      if (!held.record || held.record->pool != name) continue;
      next.hosts.push_back({*held.record, board_.Healthy(*held.record)});
    }
    view.pools.push_back(std::move(next));
  }
  return view;
}

std::vector<planned_drain> wave_board::Wanted() {
  std::vector<planned_drain> drains;
  for (const auto& [name, wave] : board_.Keeper().Tree()->waves) {
    if (wave.state != settings::wave_state::kRunning) continue;
    for (const wave_action& action : PlanWave(View(name)).actions) {
      drains.push_back(DrainOf(name, action));
    }
  }
  return drains;
}

wave_board::progress wave_board::Progress(const std::string& wave) {
  const maintenance::wave_view view = View(wave);
  const maintenance::wave_plan plan = PlanWave(view);
  progress shown;
  shown.done = plan.done;
  for (const auto& pool : view.pools) {
    for (const auto& host : pool.hosts) {
      if (host.record.reason == std::string(kWaveReason) + wave) {
        ++shown.in_progress;
      }
      if (host.record.maintained_by == wave && !host.healthy) {
        ++shown.unhealthy;
      }
    }
  }
  shown.waiting = plan.remaining - std::min(plan.remaining, shown.in_progress);
  for (const auto& hold : plan.holds) {
    if (!shown.note.empty()) shown.note += "; ";
    if (!hold.pool.empty()) shown.note += "pool " + hold.pool + ": ";
    shown.note += hold.reason;
  }
  return shown;
}

json::object wave_board::Show(const std::string& wave) {
  const settings::wave_settings& wanted =
      board_.Keeper().Tree()->waves.at(wave);
  const progress now = Progress(wave);
  return {
      {"wave", wave},
      {"kind", wanted.kind == settings::wave_kind::kKernel ? "kernel" : "move"},
      {"state", kStates[static_cast<std::size_t>(wanted.state)]},
      {"waiting", now.waiting},
      {"in_progress", now.in_progress},
      {"done", now.done},
      {"unhealthy", now.unhealthy},
      {"note", now.note}};
}

void wave_board::ListWaves(json_completion completion) {
  json::array waves;
  if (const auto& tree = board_.Keeper().Tree(); tree) {
    for (const auto& [name, wave] : tree->waves) waves.push_back(Show(name));
  }
  completion(json::value(std::move(waves)));
}

void wave_board::ShowWave(const std::string& wave, json_completion completion) {
  const auto& tree = board_.Keeper().Tree();
  if (!tree || !tree->waves.contains(wave)) {
    return completion(
        failure{failure_kind::kNotFound, "wave \"" + wave + "\" is not known"});
  }
  completion(json::value(Show(wave)));
}

}  // namespace radishwing::control

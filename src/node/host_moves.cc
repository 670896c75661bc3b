#include <algorithm>
#include <utility>

#include "src/node/host_controller_impl.h"

// The part of host_controller that moves hosts between pools.

namespace radishwing::node {
namespace {

// Typical time between the end of a move and the start of the host's runner.
constexpr millis kRunnerStartMs = 400;
constexpr millis kPoolLogIntervalMs = 1000;
// Share of the host service's order rate that moves may use. The remainder is
// reserved for maintenance and retries.
constexpr double kMoveRateShare = 0.75;

}  // namespace

std::vector<sched::pool_host> host_controller::impl::HostViews() const {
  std::vector<sched::pool_host> views;
  for (const auto& [name, host] : hosts) {
    sched::pool_host view;
    view.name = host.name;
    view.pool = host.pool;
    view.cpu_millis = host.cpu_millis;
    const auto move = moves.find(host.name);
    if (move != moves.end()) {
      view.pool = move->second.to;
      view.arriving = true;
      views.push_back(std::move(view));
      continue;
    }
    const sched::runner_state* runner = scheduler.FindRunner(host.runner);
    const bool up = host.state == fleet::host_state::kUp;
    view.arriving = host.state == fleet::host_state::kMoving;
    view.empty = runner ? runner->tasks.empty() : host.pool == standby;
    view.available = up && !InWave(host.name) && IsPauseOver(host) &&
                     (runner || host.pool == standby) &&
                     (!runner || (runner->listed && !runner->report.draining));
    views.push_back(std::move(view));
  }
  return views;
}

void host_controller::impl::PlanMoves() {
  if (!planner) {
    for (const fleet::pool_config& pool : context.config->pools) {
      if (pool.standby) standby = pool.name;
    }
    planner = std::make_unique<sched::pool_planner>(standby);
  }
  const auto views = HostViews();
  const auto demand = scheduler.Demand();
  LogPools(views, demand);
  const auto wanted = planner->Plan(context.now.Now(), views, demand);
  const millis now = context.now.Now();
  const double rate = context.settings.host_orders_per_s * kMoveRateShare;
  move_tokens = std::min(
      rate,
      move_tokens + rate * static_cast<double>(now - tokens_updated_at) / 1000);
  tokens_updated_at = now;
  for (const sched::host_move& move : wanted) {
    if (move_tokens < 1) return;
    move_tokens -= 1;
    Move(move);
  }
}

// Logs the inputs of the move planner once a second.
void host_controller::impl::LogPools(
    const std::vector<sched::pool_host>& views,
    const std::map<std::string, sched::pool_demand>& demand) {
  const millis now = context.now.Now();
  if (now - pools_logged_at < kPoolLogIntervalMs) return;
  pools_logged_at = now;
  for (const auto& [pool, asked] : demand) {
    int count = 0;
    int empty = 0;
    int arriving = 0;
    for (const sched::pool_host& host : views) {
      if (host.pool != pool) continue;
      ++count;
      empty += host.available && host.empty ? 1 : 0;
      arriving += host.arriving ? 1 : 0;
    }
    context.metrics.SetPoolHosts(pool, "active", count - empty - arriving);
    context.metrics.SetPoolHosts(pool, "empty", empty);
    context.metrics.SetPoolHosts(pool, "maintenance", arriving);
    context.log.Info(
        "pools",
        "pool load, pool=" + pool + " hosts=" + std::to_string(count) +
            " empty=" + std::to_string(empty) +
            " arriving=" + std::to_string(arriving) +
            " room_cpu=" + std::to_string(asked.capacity_cpu_millis) +
            " used_cpu=" + std::to_string(asked.used_cpu_millis) +
            " blocked_core_ms=" +
            std::to_string(static_cast<int>(asked.blocked_core_ms)) +
            " blocked_lasting=" + std::to_string(asked.blocked_long_running));
  }
}

void host_controller::impl::Move(const sched::host_move& move) {
  const fleet::host_info* host = FindHost(move.host);
  if (!host || moves.contains(move.host)) return;
  const sched::runner_state* runner = scheduler.FindRunner(host->runner);
  if (runner && !runner->tasks.empty()) return;
  if (runner) scheduler.SetCordoned(host->runner, true);
  last_order_at = context.now.Now();
  moves[move.host] = {move.to, context.now.Now(), host->runner};
  client->Move(move.host, move.to, fence,
               [weak = weak_from_this(),
                name = move.host](fleet::order_outcome outcome) {
                 if (const auto self = weak.lock()) {
                   self->OnMoved(name, outcome);
                 }
               });
}

void host_controller::impl::OnMoved(const std::string& name,
                                    fleet::order_outcome outcome) {
  context.metrics.CountOrder("move", fleet::OrderOutcomeName(outcome));
  context.log.Info("hosts", "move ordered, host=" + name +
                                " pool=" + moves[name].to +
                                " outcome=" + fleet::OrderOutcomeName(outcome));
  if (outcome == fleet::order_outcome::kAccepted) {
    context.metrics.CountMove(moves[name].to);
    ending_runners[moves[name].runner] = {name, context.now.Now()};
    return;
  }
  if (outcome == fleet::order_outcome::kFenced) fenced = true;
  // Without a reply the host may have moved; the next list shows whether it
  // did.
  if (outcome == fleet::order_outcome::kUnknown) return;
  moves.erase(name);
  const fleet::host_info* host = FindHost(name);
  if (host) scheduler.SetCordoned(host->runner, false);
}

// A repeated order is accepted even if it was carried out before, in which case
// the current runner keeps running. Only a list that was requested after the
// order shows whether the runner ended.
void host_controller::impl::ConfirmEndedRunners() {
  std::vector<std::string> ended;
  for (auto it = ending_runners.begin(); it != ending_runners.end();) {
    if (it->second.ordered_at >= list_requested_at) {
      ++it;
      continue;
    }
    const fleet::host_info* host = FindHost(it->second.host);
    if (!host || host->runner != it->first ||
        host->state != fleet::host_state::kUp) {
      ended.push_back(it->first);
    } else {
      scheduler.SetCordoned(it->first, false);
    }
    it = ending_runners.erase(it);
  }
  for (const std::string& runner : ended) hooks.runner_ended(runner);
}

// Removes moves whose host is listed with a runner in its new pool, and those
// that have exceeded their time limit.
void host_controller::impl::ExpireMoves() {
  const millis now = context.now.Now();
  std::erase_if(moves, [&](const auto& entry) {
    const move_state& move = entry.second;
    const millis age = now - move.ordered_at;
    const fleet::host_info* host = FindHost(entry.first);
    if (!host) return true;
    const bool arrived =
        host->pool == move.to && host->state == fleet::host_state::kUp &&
        list_requested_at > move.ordered_at + context.settings.move_ms;
    if (arrived) {
      const sched::runner_state* runner = scheduler.FindRunner(host->runner);
      return move.to == standby || (runner && runner->listed) ||
             age > 4 * (context.settings.move_ms + kRunnerStartMs);
    }
    if (age < 3 * (context.settings.move_ms + kRunnerStartMs)) return false;
    scheduler.SetCordoned(host->runner, false);
    return true;
  });
}

}  // namespace radishwing::node

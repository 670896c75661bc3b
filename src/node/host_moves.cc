#include <algorithm>
#include <utility>

#include "src/node/host_controller_impl.h"

// The part of host_controller that moves hosts between pools.

namespace radishwing::node {
namespace {

// Typical time from the end of a move until the host's runner has started.
constexpr millis kRunnerStartMs = 400;
constexpr millis kPoolLogIntervalMs = 1000;
// Share of host_orders_per_s that moves may use. The rest is reserved for
// maintenance orders and retries.
constexpr double kMoveRateShare = 0.75;
// Time for which a runner that is to become empty gets no new tasks, unless the
// planner confirms it.
constexpr millis kLeavingValidMs = 1000;

// Returns an amount of work without decimals, limited to a range that
// std::int64_t has.
std::string FormatCoreMs(double core_ms) {
  return std::to_string(
      static_cast<std::int64_t>(std::clamp(core_ms, 0.0, 1e15)));
}

}  // namespace

std::vector<sched::pool_host> host_controller::impl::PlannerHosts() const {
  std::vector<sched::pool_host> planner_hosts;
  for (const auto& [name, host] : listed_hosts) {
    sched::pool_host planner_host;
    planner_host.name = host.name;
    planner_host.pool = host.pool;
    planner_host.cpu_millicores = host.cpu_millicores;
    const auto move = pending_moves.find(host.name);
    if (move != pending_moves.end()) {
      planner_host.pool = move->second.new_pool;
      planner_host.arriving = true;
      planner_hosts.push_back(std::move(planner_host));
      continue;
    }
    const sched::runner_state* runner = scheduler.FindRunner(host.runner);
    const bool up = host.state == fleet::host_state::kUp;
    planner_host.arriving = host.state == fleet::host_state::kMoving;
    planner_host.empty =
        runner ? runner->tasks.empty() : host.pool == standby_pool;
    planner_host.available =
        up && !IsInMaintenance(host.name) && !open_orders.contains(host.name) &&
        !context.evacuated_data_centres.contains(host.data_centre) &&
        IsPauseOver(host) && (runner || host.pool == standby_pool) &&
        (!runner || (runner->listed && !runner->report.draining));
    planner_hosts.push_back(std::move(planner_host));
  }
  return planner_hosts;
}

void host_controller::impl::PlanMoves() {
  if (!move_planner) {
    for (const fleet::pool_config& pool : context.config->pools) {
      if (pool.standby) standby_pool = pool.name;
    }
    move_planner = std::make_unique<sched::pool_planner>(
        standby_pool, context.settings.move_ms + kRunnerStartMs,
        [this](const std::string& name) {
          const fleet::host_info* host = FindHost(name);
          return host ? scheduler.BusyMs(host->runner, context.now.Now()) : 0;
        });
  }
  const auto planner_hosts = PlannerHosts();
  const millis now = context.now.Now();
  const auto demand = scheduler.DemandByPool(now);
  ReportPoolLoad(planner_hosts, demand);
  const auto planned = move_planner->Plan(now, planner_hosts, demand);
  SetLeavingRunners(now);
  const double rate = context.settings.host_orders_per_s * kMoveRateShare;
  move_tokens = std::min(
      rate,
      move_tokens +
          rate * static_cast<double>(now - move_tokens_updated_at) / 1000);
  move_tokens_updated_at = now;
  for (const sched::host_move& move : planned) {
    if (move_tokens < 1) return;
    move_tokens -= 1;
    context.log.Info(
        "pools",
        "move planned, host=" + move.host + " pool=" + move.to_pool +
            " reason=" + std::string(sched::MoveReasonName(move.reason)));
    OrderMove(move);
  }
}

// The runners get tasks again after kLeavingValidMs even if the planner does
// not run any more, for example because the host service has fenced the leader.
void host_controller::impl::SetLeavingRunners(millis now) {
  std::set<std::string> runners;
  for (const std::string& name : move_planner->LeavingHosts()) {
    const fleet::host_info* host = FindHost(name);
    if (host) runners.insert(host->runner);
  }
  scheduler.SetLeaving(std::move(runners), now + kLeavingValidMs);
}

void host_controller::impl::ReportPoolLoad(
    const std::vector<sched::pool_host>& planner_hosts,
    const std::map<std::string, sched::pool_demand>& demand) {
  const millis now = context.now.Now();
  if (now - pools_logged_at < kPoolLogIntervalMs) return;
  pools_logged_at = now;
  for (const auto& [pool, pool_load] : demand) {
    int count = 0;
    int empty = 0;
    int arriving = 0;
    int leaving = 0;
    for (const sched::pool_host& host : planner_hosts) {
      if (host.pool != pool) continue;
      ++count;
      empty += host.available && host.empty ? 1 : 0;
      arriving += host.arriving ? 1 : 0;
      leaving += move_planner->LeavingHosts().contains(host.name) ? 1 : 0;
    }
    context.metrics.SetPoolHosts(pool, "active", count - empty - arriving);
    context.metrics.SetPoolHosts(pool, "empty", empty);
    context.metrics.SetPoolHosts(pool, "maintenance", arriving);
    context.metrics.SetPoolHosts(pool, "leaving", leaving);
    ReportBlockedDemand(pool, pool_load);
    context.log.Info(
        "pools",
        "pool load, pool=" + pool + " hosts=" + std::to_string(count) +
            " empty=" + std::to_string(empty) +
            " arriving=" + std::to_string(arriving) +
            " room_cpu=" + std::to_string(pool_load.capacity_millicores) +
            " used_cpu=" + std::to_string(pool_load.used_millicores) +
            " blocked_core_ms=" + FormatCoreMs(pool_load.blocked_core_ms) +
            " late_core_ms=" + FormatCoreMs(pool_load.late_core_ms) +
            " very_late_core_ms=" + FormatCoreMs(pool_load.very_late_core_ms) +
            " late_cpu=" + std::to_string(pool_load.late_used_millicores) +
            " leaving=" + std::to_string(leaving) + " blocked_lasting=" +
            std::to_string(pool_load.blocked_long_running_tasks));
  }
}

void host_controller::impl::ReportBlockedDemand(
    const std::string& pool, const sched::pool_demand& load) {
  const double late = load.late_core_ms - load.very_late_core_ms;
  context.metrics.SetBlockedCoreSeconds(pool, "useful",
                                        load.UsefulCoreMs() / 1000);
  context.metrics.SetBlockedCoreSeconds(pool, "late", late / 1000);
  context.metrics.SetBlockedCoreSeconds(pool, "very_late",
                                        load.very_late_core_ms / 1000);
}

void host_controller::impl::OrderMove(const sched::host_move& move) {
  const fleet::host_info* host = FindHost(move.host);
  if (!host || pending_moves.contains(move.host) ||
      open_orders.contains(move.host)) {
    return;
  }
  const sched::runner_state* runner = scheduler.FindRunner(host->runner);
  if (runner && !runner->tasks.empty()) return;
  pending_moves[move.host] = {move.to_pool, context.now.Now(), host->runner};
  QueueOrder(move.host, {host->runner, move.to_pool, 0});
}

void host_controller::impl::ApplyMoveOutcome(const std::string& name,
                                             const open_order& sent,
                                             fleet::order_outcome outcome) {
  context.metrics.CountOrder("move", fleet::OrderOutcomeName(outcome));
  context.log.Info("hosts", "move ordered, host=" + name +
                                " pool=" + sent.order.new_pool +
                                " outcome=" + fleet::OrderOutcomeName(outcome));
  if (outcome == fleet::order_outcome::kAccepted) {
    context.metrics.CountHostMove(sent.order.new_pool);
    NoteEndingRunners(name, sent.order.runner);
    return;
  }
  if (open_orders.contains(name)) return;
  pending_moves.erase(name);
}

// The response does not show whether the order was carried out just now, which
// ends the runner that the host has now, or before.
void host_controller::impl::NoteEndingRunners(const std::string& name,
                                              const std::string& named_runner) {
  const fleet::host_info* host = FindHost(name);
  for (const std::string& runner :
       {named_runner, host ? host->runner : std::string()}) {
    if (!runner.empty()) ending_runners[runner] = {name, context.now.Now()};
  }
}

// The host service also accepts an order that it has carried out before. Such a
// repeated order does not end the host's current runner. Therefore, only a list
// of the hosts that was requested after the order shows whether the runner
// ended.
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
    }
    it = ending_runners.erase(it);
  }
  for (const std::string& runner : ended) hooks.runner_ended(runner);
}

// A host that is listed in the new pool with another runner than before proves
// that the move was carried out. Without another runner, the list has to be
// newer than the move's duration.
bool host_controller::impl::HasArrived(const pending_move& move,
                                       const fleet::host_info& host) const {
  if (host.pool != move.new_pool || host.state != fleet::host_state::kUp) {
    return false;
  }
  return (!host.runner.empty() && host.runner != move.runner) ||
         listed_hosts_as_of > move.ordered_at + context.settings.move_ms;
}

// A move has completed when the host has arrived in its new pool and, unless
// that is the standby pool, the host's runner has responded to a poll with a
// listing of its runs.
void host_controller::impl::RemoveEndedMoves() {
  const millis now = context.now.Now();
  std::erase_if(pending_moves, [&](const auto& entry) {
    const pending_move& move = entry.second;
    const millis age = now - move.ordered_at;
    const fleet::host_info* host = FindHost(entry.first);
    if (!host) {
      DropOrder(entry.first);
      return !open_orders.contains(entry.first);
    }
    if (HasArrived(move, *host)) {
      DropOrder(entry.first);
      if (open_orders.contains(entry.first)) return false;
      const sched::runner_state* runner = scheduler.FindRunner(host->runner);
      return move.new_pool == standby_pool || (runner && runner->listed) ||
             age > 4 * (context.settings.move_ms + kRunnerStartMs);
    }
    return !open_orders.contains(entry.first) &&
           age >= 3 * (context.settings.move_ms + kRunnerStartMs);
  });
}

}  // namespace radishwing::node

#include <algorithm>
#include <map>
#include <utility>

#include "src/node/host_controller_impl.h"
#include "src/sched/host_audit.h"

// The part of host_controller that determines which runners get no new tasks.

namespace radishwing::node {
namespace {

constexpr millis kHoldsReportIntervalMs = 1000;

}  // namespace

std::vector<sched::host_claim> host_controller::impl::HostClaims() const {
  using sched::hold_reason;
  const auto listed_runner = [this](const std::string& name) {
    const fleet::host_info* host = FindHost(name);
    return host ? host->runner : std::string();
  };
  std::vector<sched::host_claim> claims;
  for (const auto& [name, open] : open_orders) {
    claims.push_back(
        {hold_reason::kOpenOrder, listed_runner(name), open.order.runner});
  }
  for (const auto& [number, wave] : waves) {
    for (const auto& [name, since] : wave.draining_since) {
      claims.push_back({hold_reason::kDraining, listed_runner(name), ""});
    }
  }
  for (const auto& [runner, ending] : ending_runners) {
    claims.push_back({hold_reason::kEnding, "", runner});
  }
  for (std::string& runner : hooks.unregistered_runners()) {
    claims.push_back({hold_reason::kUnregistered, "", std::move(runner)});
  }
  return claims;
}

void host_controller::impl::ApplyHolds() {
  scheduler.SetRunnerHolds(sched::DeriveRunnerHolds(HostClaims()));
}

void host_controller::impl::ReportHolds() {
  const millis now = context.now.Now();
  // The name of the standby pool is not known before moves are planned.
  if (!move_planner || now - holds_reported_at < kHoldsReportIntervalMs) return;
  holds_reported_at = now;
  const sched::runner_holds holds = sched::DeriveRunnerHolds(HostClaims());
  std::map<std::string_view, int> counts{
      {"order", 0}, {"ending", 0}, {"draining", 0}, {"no_entry", 0}};
  std::vector<sched::audited_host> hosts;
  std::map<std::string, millis> still_held;
  for (const auto& [name, host] : listed_hosts) {
    if (host.state != fleet::host_state::kUp || host.pool == standby_pool) {
      continue;
    }
    const auto hold = holds.find(host.runner);
    hosts.push_back(
        {name, scheduler.FindRunner(host.runner), hold != holds.end()});
    if (hold == holds.end()) continue;
    ++counts[sched::HoldReasonName(hold->second)];
    const auto since = held_since.find(host.runner);
    still_held[host.runner] = since == held_since.end() ? now : since->second;
  }
  held_since = std::move(still_held);
  const sched::host_audit audit = sched::AuditHosts(hosts);
  counts["runner_not_ready"] = audit.Count(sched::host_use::kRunnerNotReady);
  counts["unexplained"] = audit.Count(sched::host_use::kUnexplained);
  std::string fields;
  bool all_take_tasks = true;
  for (const auto& [reason, count] : counts) {
    context.metrics.SetHostsWithoutTasks(reason, count);
    fields += " " + std::string(reason) + "=" + std::to_string(count);
    all_take_tasks = all_take_tasks && count == 0;
  }
  if (all_take_tasks) return;
  millis longest = 0;
  for (const auto& [runner, since] : held_since) {
    longest = std::max(longest, now - since);
  }
  context.log.Info("pools", "hosts without tasks, longest_ms=" +
                                std::to_string(longest) + fields);
  for (const std::string& name : audit.unexplained) {
    context.log.Warning(
        "pools", "host without tasks and without a reason, host=" + name);
  }
}

}  // namespace radishwing::node

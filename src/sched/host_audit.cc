#include "src/sched/host_audit.h"

namespace radishwing::sched {

host_use UseOf(const audited_host& host) {
  const runner_state* runner = host.runner;
  if (host.has_reason) return host_use::kHeld;
  if (!runner || !runner->listed || !runner->reachable || !runner->recorded ||
      runner->has_unknown_runs || runner->report.draining) {
    return host_use::kRunnerNotReady;
  }
  return runner->cordoned ? host_use::kUnexplained : host_use::kTakesTasks;
}

host_audit AuditHosts(std::span<const audited_host> hosts) {
  host_audit audit;
  for (const audited_host& host : hosts) {
    const host_use use = UseOf(host);
    ++audit.hosts[static_cast<std::size_t>(use)];
    if (use == host_use::kUnexplained) audit.unexplained.push_back(host.name);
  }
  return audit;
}

}  // namespace radishwing::sched

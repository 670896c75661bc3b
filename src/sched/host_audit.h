#pragma once

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/sched/runner_holds.h"
#include "src/sched/runner_state.h"

namespace radishwing::sched {

/// Whether a host takes tasks, and if not, why.
enum class host_use {
  kTakesTasks,
  kHeld,  ///< There is a hold_reason.
  /// The runner is not registered, does not respond, has not listed its runs,
  /// shuts down, is not in the stored runner set or has unknown runs.
  kRunnerNotReady,
  /// The runner gets no tasks although there is no reason. This is a fault.
  kUnexplained,
};

/// Number of host_use values.
inline constexpr std::size_t kHostUseCount = 4;

/// A host that is up and not in standby.
struct audited_host {
  std::string name;
  /// The host's runner as the scheduler knows it; null if it does not.
  const runner_state* runner = nullptr;
  bool has_reason = false;  ///< There is a hold_reason for the runner.
};

/// Returns whether the host takes tasks.
host_use UseOf(const audited_host& host);

/// Result of an audit.
struct host_audit {
  /// Number of hosts by host_use.
  std::array<int, kHostUseCount> hosts{};
  /// Names of the hosts that get no tasks without a reason.
  std::vector<std::string> unexplained;
  int Count(host_use use) const { return hosts[static_cast<std::size_t>(use)]; }
};

/// Checks that each host without a reason against it takes tasks.
host_audit AuditHosts(std::span<const audited_host> hosts);

}  // namespace radishwing::sched

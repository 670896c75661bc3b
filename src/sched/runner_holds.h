#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Why a runner gets no new tasks.
enum class hold_reason {
  kUnregistered,  ///< The runner has no entry in the store.
  kDraining,      ///< A maintenance wave drains the runner's host.
  kEnding,        ///< The host accepted an order that ends the runner.
  kOpenOrder,     ///< An order to the host may still be carried out.
};

/// Returns the text that stands for a reason in logs and metrics.
std::string_view HoldReasonName(hold_reason reason);

/// Something that holds against a host, or against a runner whose host is not
/// known.
struct host_claim {
  hold_reason reason = hold_reason::kOpenOrder;
  /// Runner that the newest list shows on the host; empty if none.
  std::string listed_runner;
  /// Runner that the order to the host ends, or that has no entry; empty if
  /// none. It may be the runner of before the host's restart.
  std::string named_runner;
};

/// Reasons by runner id. Runners that are missing may get tasks.
using runner_holds = std::map<std::string, hold_reason>;

/// Derives which runners get no new tasks from all that holds against them now.
/// An order that may still be carried out, and a wave, hold the runner that the
/// host has now, whichever it is. An order that was accepted ends one runner;
/// the next one on the host may get tasks.
runner_holds DeriveRunnerHolds(std::span<const host_claim> claims);

}  // namespace radishwing::sched

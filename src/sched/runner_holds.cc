#include "src/sched/runner_holds.h"

#include <algorithm>

namespace radishwing::sched {

std::string_view HoldReasonName(hold_reason reason) {
  switch (reason) {
    case hold_reason::kUnregistered:
      return "no_entry";
    case hold_reason::kDraining:
      return "draining";
    case hold_reason::kEnding:
      return "ending";
    case hold_reason::kOpenOrder:
      return "order";
  }
  return "order";
}

runner_holds DeriveRunnerHolds(std::span<const host_claim> claims) {
  runner_holds holds;
  const auto hold = [&holds](const std::string& runner, hold_reason reason) {
    if (runner.empty()) return;
    const auto [it, added] = holds.try_emplace(runner, reason);
    if (!added) it->second = std::max(it->second, reason);
  };
  for (const host_claim& claim : claims) {
    hold(claim.named_runner, claim.reason);
    if (claim.reason == hold_reason::kDraining ||
        claim.reason == hold_reason::kOpenOrder) {
      hold(claim.listed_runner, claim.reason);
    }
  }
  return holds;
}

}  // namespace radishwing::sched

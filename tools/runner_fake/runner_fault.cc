#include "tools/runner_fake/runner_fault.h"

#include <array>

namespace radishwing::fake {
namespace {

struct mode_name {
  std::string_view name;
  runner_fault_mode mode;
};

constexpr std::array kModeNames = {
    mode_name{"none", runner_fault_mode::kNone},
    mode_name{"refuse", runner_fault_mode::kRefuse},
    mode_name{"fail_all", runner_fault_mode::kFailAll},
    mode_name{"silent", runner_fault_mode::kSilent},
    mode_name{"late", runner_fault_mode::kLate},
    mode_name{"die_before", runner_fault_mode::kDieBefore},
    mode_name{"die_during", runner_fault_mode::kDieDuring},
    mode_name{"die_after", runner_fault_mode::kDieAfter},
    mode_name{"leave", runner_fault_mode::kLeave},
};

}  // namespace

std::optional<runner_fault_mode> RunnerFaultFromName(std::string_view name) {
  for (const mode_name& candidate : kModeNames) {
    if (candidate.name == name) return candidate.mode;
  }
  return std::nullopt;
}

}  // namespace radishwing::fake

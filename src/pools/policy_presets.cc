#include "src/pools/policy_presets.h"

namespace radishwing::pools {

std::optional<settings::policy_settings> PresetPolicy(std::string_view preset) {
  settings::policy_settings policy;
  if (preset == "deadline_surges") {
    policy.weight_rollout_time = 4;
    policy.weight_share_nearness = 4;
    policy.move_budget_per_hour = 12;
    policy.move_hysteresis_seconds = 30;
    return policy;
  }
  if (preset == "lean_buffer") {
    policy.weight_buffer_cost = 4;
    policy.weight_moves = 4;
    policy.move_budget_per_hour = 4;
    policy.move_hysteresis_seconds = 120;
    return policy;
  }
  return std::nullopt;
}

}  // namespace radishwing::pools

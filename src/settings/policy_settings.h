#pragma once

#include <cstdint>

namespace radishwing::settings {

/// Settings object `policy`: cost weights and limits on host moves. Defaults
/// come from the preset; explicit values override them.
struct policy_settings {
  double weight_rollout_time = 1;
  double weight_share_nearness = 1;
  double weight_buffer_cost = 1;
  double weight_moves = 1;
  std::uint32_t move_budget_per_hour = 6;
  std::int64_t move_hysteresis_seconds = 60;
};

}  // namespace radishwing::settings

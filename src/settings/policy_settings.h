#pragma once

#include <cstdint>

namespace radishwing::settings {

/// Branch `policy`: how much each cost counts. A preset fills the weights,
/// values in the tree override them.
struct policy_settings {
  double weight_rollout_time = 1;
  double weight_share_nearness = 1;
  double weight_buffer_cost = 1;
  double weight_moves = 1;
  std::uint32_t move_budget_per_hour = 6;
  std::int64_t move_hysteresis_seconds = 60;
};

}  // namespace radishwing::settings

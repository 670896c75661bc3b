#pragma once

#include <cstdint>

namespace radishwing::settings {

/// Settings object `policy`: weights of costs and limits on moves of hosts
/// between pools. A field that the settings file omits has the value of the
/// preset.
struct policy_settings {
  /// Weight of the duration of a maintenance wave.
  double weight_rollout_time = 1;
  /// Weight of the distance of each team from its share.
  double weight_share_nearness = 1;
  double weight_buffer_cost = 1;  ///< Weight of the cost of spare hosts.
  double weight_moves = 1;        ///< Weight of each move of a host.
  /// Maximum number of host moves between pools per hour.
  std::uint32_t move_budget_per_hour = 6;
  /// Minimum time that a host stays in a pool before it may move again.
  std::int64_t move_hysteresis_seconds = 60;
};

}  // namespace radishwing::settings

#include "src/settings/preset.h"

namespace radishwing::settings {
namespace {

// The costs that a preset prioritizes have 3 times the weight of the other
// costs, so that the other costs still count.
const preset kPresets[] = {
    {"deadline_surges",
     {.weight_rollout_time = 3,
      .weight_share_nearness = 3,
      .weight_buffer_cost = 1,
      .weight_moves = 1,
      .move_budget_per_hour = 12,
      .move_hysteresis_seconds = 60},
     "For fleets whose demand surges before deadlines: prioritizes fast "
     "rollouts and teams close to their shares."},
    {"lean_buffer",
     {.weight_rollout_time = 1,
      .weight_share_nearness = 1,
      .weight_buffer_cost = 3,
      .weight_moves = 3,
      .move_budget_per_hour = 4,
      .move_hysteresis_seconds = 180},
     "For fleets that pay for idle hosts: prioritizes a small buffer and few "
     "moves."},
};

}  // namespace

std::span<const preset> Presets() { return kPresets; }

const preset& FindPreset(std::string_view name) {
  for (const preset& candidate : kPresets) {
    if (candidate.name == name) return candidate;
  }
  return kPresets[0];
}

}  // namespace radishwing::settings

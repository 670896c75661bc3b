#pragma once

#include <optional>
#include <string_view>

#include "src/settings/policy_settings.h"

namespace radishwing::pools {

/// The weights of a preset of `fleet.preset`: "deadline_surges" favours
/// roll-out time and nearness to share, "lean_buffer" few spare hosts and few
/// moves. Nothing for an unknown name.
std::optional<settings::policy_settings> PresetPolicy(std::string_view preset);

}  // namespace radishwing::pools

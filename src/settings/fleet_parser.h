#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/settings/fleet_settings.h"
#include "src/settings/source_tree.h"

namespace radishwing::settings {

/// Checks a settings text and reads it. Returns the settings with `revision`,
/// or every finding in the order of the text. `file` is shown in findings.
/// Any thread.
checked<fleet_settings> ParseFleetSettings(const std::string& file,
                                           std::string_view text,
                                           std::uint64_t revision);

}  // namespace radishwing::settings

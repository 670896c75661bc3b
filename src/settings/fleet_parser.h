#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/settings/fleet_settings.h"
#include "src/settings/json_document.h"

namespace radishwing::settings {

/// Parses and validates the JSON text of the fleet settings. Returns the
/// settings, whose fleet_settings::revision is `revision`, or all findings
/// sorted by position. `file` is the file name shown in findings. Thread-safe.
parse_result<fleet_settings> ParseFleetSettings(const std::string& file,
                                                std::string_view text,
                                                std::uint64_t revision);

}  // namespace radishwing::settings

#pragma once

#include <span>
#include <string_view>

#include "src/settings/policy_settings.h"

namespace radishwing::settings {

/// A named set of defaults for the settings object `policy`.
struct preset {
  std::string_view name;
  policy_settings policy;
  std::string_view doc;  ///< Help text on the reference page.
};

/// Returns all presets; the first one is the default.
std::span<const preset> Presets();

/// Returns the preset called `name`, or the default preset if there is none.
const preset& FindPreset(std::string_view name);

}  // namespace radishwing::settings

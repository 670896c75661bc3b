#pragma once

#include <span>
#include <string_view>

#include "src/settings/policy_settings.h"

namespace radishwing::settings {

/// Named defaults of the branch `policy`.
struct preset {
  std::string_view name;
  policy_settings policy;
  std::string_view doc;
};

/// Every preset, the default one first.
std::span<const preset> Presets();

/// The preset called `name`; the default one if there is none.
const preset& FindPreset(std::string_view name);

}  // namespace radishwing::settings

#pragma once

#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/rpc/settings_text.h"

namespace radishwing::control {

/// Store key of the settings tree.
inline constexpr const char* kSettingsKey = "settings";

/// The value under `settings`: JSON with revision, change_id, author and text.
std::string EncodeSettings(const rpc::settings_text& settings);
result<rpc::settings_text> DecodeSettings(std::string_view value);

}  // namespace radishwing::control

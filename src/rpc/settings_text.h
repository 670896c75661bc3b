#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/settings/fleet_settings.h"

namespace radishwing::rpc {

/// One revision of the settings as it travels between processes.
struct settings_text {
  std::uint64_t revision = 0;  ///< 0: none known.
  std::string text;
  std::string change_id;
  std::string author;
};

/// Parses a settings text that another process accepted before.
result<std::shared_ptr<const settings::fleet_settings>> ParseSettingsText(
    std::uint64_t revision, std::string_view text);

}  // namespace radishwing::rpc

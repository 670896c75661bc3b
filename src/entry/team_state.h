#pragma once

#include <cstdint>
#include <string>

#include "src/entry/token_account.h"
#include "src/settings/team_settings.h"

namespace radishwing::entry {

/// One team as the serve thread knows it. Kept for the life of the process.
struct team_state {
  std::string name;  ///< Empty: callers of open services without a key.
  std::uint32_t index = 0;
  settings::team_settings settings;
  bool listed = false;  ///< In the newest settings.
  token_account tokens;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;

  bool NeedsToken() const { return index != 0; }
};

}  // namespace radishwing::entry

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace radishwing::settings {

/// Hash of one key that a team may present.
struct team_key {
  std::string id;      ///< Operators' name of the key.
  std::string sha256;  ///< 64 lower-case hexadecimal digits.
};

/// What an entry does for a team while its data centre cannot confirm that
/// its settings are the newest.
enum class cut_off_policy { kServe, kRefuse };

/// One branch `teams.<team>`.
struct team_settings {
  double share = 0;               ///< Part of a full fleet, 0 to 1.
  std::uint32_t upper_limit = 1;  ///< Most requests and tasks running at once.
  std::vector<team_key> keys;
  bool allow_interactive = true;
  bool allow_long = true;
  bool allow_urgent = false;
  cut_off_policy when_cut_off = cut_off_policy::kServe;
  /// How long a cut-off data centre serves under kServe, in seconds.
  std::int64_t cut_off_grace_seconds = 300;
};

}  // namespace radishwing::settings

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace radishwing::settings {

/// Hash of an API key of a team.
struct team_key {
  std::string id;      ///< Name of the key for operators.
  std::string sha256;  ///< 64 lower-case hexadecimal digits.
};

/// How a frontend treats the requests of a team while its data centre cannot
/// confirm that its settings are current.
enum class cut_off_policy { kServe, kRefuse };

/// Settings object `teams.<team>`.
struct team_settings {
  double share = 0;  ///< Fraction of the fleet capacity, 0 to 1.
  /// Maximum number of concurrent requests and tasks.
  std::uint32_t upper_limit = 1;
  std::vector<team_key> keys;
  bool allow_interactive = true;
  bool allow_long = true;
  bool allow_urgent = false;
  cut_off_policy when_cut_off = cut_off_policy::kServe;
  /// With kServe: for how many seconds a disconnected data centre keeps
  /// serving.
  std::int64_t cut_off_grace_seconds = 300;
};

}  // namespace radishwing::settings

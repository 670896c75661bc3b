#pragma once

#include <string>
#include <vector>

#include "src/base/finding.h"
#include "src/settings/process_settings.h"

namespace radishwing::settings {

/// Where one secret comes from: a file named by a field of the settings, or an
/// environment variable.
struct secret_source {
  std::string field;     ///< Such as `fleet_secret_file`.
  std::string variable;  ///< Such as `RADISHWING_FLEET_SECRET`.
};

/// Shortest secret that is accepted, in bytes: 128 random bits take 22
/// characters of base64 and 32 of hexadecimal; 16 allows printable passwords.
inline constexpr std::size_t kShortestSecret = 16;
inline constexpr std::size_t kLongestSecret = 4096;

/// Reads one secret. White space at its end is removed. Adds a finding and
/// returns an empty secret if there is none, if both sources are set, or if
/// its length is out of range.
secret_text ReadSecret(const source_tree& tree, const secret_source& source,
                       const environment& env, std::vector<finding>& findings);

}  // namespace radishwing::settings

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace radishwing::settings {

/// ID and hash of an API key of a team.
struct team_key {
  std::string id;      ///< Name of the key, shown to operators.
  std::string sha256;  ///< SHA-256 of the key: 64 lower-case hex digits.
};

/// How the client API of a node handles a team's requests while the node's data
/// centre cannot confirm that the settings of the data centre are current.
enum class cut_off_policy {
  kServe,  ///< Serves them until cut_off_grace_seconds have elapsed.
  kRefuse  ///< Refuses them immediately.
};

/// Settings object `teams.<team>`.
struct team_settings {
  /// Fraction of the fleet capacity that the team is entitled to, 0 to 1. The
  /// share does not limit the team; upper_limit does.
  double share = 0;
  /// Maximum number of the team's requests and tasks running at the same time,
  /// over the whole fleet.
  std::uint32_t upper_limit = 1;
  std::vector<team_key> keys;     ///< The team's API keys, as hashes.
  bool allow_interactive = true;  ///< The team may submit interactive work.
  bool allow_long = true;         ///< The team may submit long work.
  bool allow_urgent = false;      ///< The team may submit urgent work.
  /// How the team's requests are handled while a data centre cannot confirm
  /// that its settings are current.
  cut_off_policy when_cut_off = cut_off_policy::kServe;
  /// How long a data centre that cannot confirm that its settings are current
  /// serves the team's requests if when_cut_off is kServe.
  std::int64_t cut_off_grace_seconds = 300;
};

}  // namespace radishwing::settings

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/settings/policy_settings.h"
#include "src/settings/pool_settings.h"
#include "src/settings/service_settings.h"
#include "src/settings/team_settings.h"
#include "src/settings/wave_settings.h"

namespace radishwing::settings {

/// Validated fleet settings of one revision. Immutable after parsing; shared
/// between threads as `std::shared_ptr<const fleet_settings>`.
struct fleet_settings {
  /// Revision number; increases with each accepted change of the settings.
  std::uint64_t revision = 0;
  std::string name;  ///< Name of the fleet.
  /// How long the outcome of a request is retained, in case the request is
  /// repeated with the same identifier.
  std::int64_t identifier_retention_seconds = 600;
  // Each map is keyed by the name of the team, pool, service or wave.
  std::map<std::string, team_settings, std::less<>> teams;
  std::map<std::string, pool_settings, std::less<>> pools;
  std::map<std::string, service_settings, std::less<>> services;
  std::map<std::string, wave_settings, std::less<>> waves;
  policy_settings policy;
};

}  // namespace radishwing::settings

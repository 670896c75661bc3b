#pragma once

#include <string>
#include <vector>

#include "src/fleet/fleet_config.h"

namespace radishwing::fleet {

/// A difference between the configuration in force and one that is to follow
/// it.
struct config_change {
  std::string subject;  ///< Kind and name of the entry, as `queue "r-1"`.
  std::string change;   ///< What changes, as `priority raised from 1 to 0`.
  std::string effect;   ///< Consequence for callers and running work.
};

/// Returns how `next` differs from `current`, by the names of the entries.
std::vector<config_change> CompareConfigs(const fleet_config& current,
                                          const fleet_config& next);

}  // namespace radishwing::fleet

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "src/fleet/fleet_config.h"

namespace radishwing::fleet {

/// Part of a configuration that a problem belongs to.
enum class config_section { kQueues, kPools, kTeams };

/// A fault of a configuration, found before it is sent.
struct config_problem {
  config_section section = config_section::kQueues;
  std::size_t index = 0;  ///< Position of the entry in its section.
  /// True if callers or jobs are certain to be affected; false if the entry is
  /// only unlikely to be meant.
  bool is_error = true;
  std::string text;  ///< Names the entry, what is wrong and the consequence.
};

/// Capacity of the registered runners, by pool name.
using pool_capacities = std::map<std::string, resources>;

/// Returns what is wrong with a configuration: invalid values, entries that no
/// call or job can ever match, and limits that contradict each other.
/// `capacities` is empty if the runners are not known; checks that need them
/// are then left out.
std::vector<config_problem> CheckConfig(const fleet_config& config,
                                        const pool_capacities& capacities);

}  // namespace radishwing::fleet

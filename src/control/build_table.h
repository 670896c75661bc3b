#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/control/host_view.h"
#include "src/control/platform_seam.h"
#include "src/routing/runner_info.h"
#include "src/settings/fleet_settings.h"

namespace radishwing::control {

/// Everything that the runner table is made from.
struct table_sources {
  live_list live;
  std::map<std::string, platform_host> hosts;  ///< By host.
  std::map<std::string, host_view> records;    ///< By host.
};

/// The runners that entries may know, sorted by id. A runner accepts work if
/// neither it nor its host leaves, its host record is `active`, and the host
/// belongs to the pool of the runner's service. A host without a record
/// belongs to the pool of the service that it runs. Runners of services that
/// the settings do not name are left out.
std::vector<routing::runner_info> BuildTable(
    const table_sources& sources, const settings::fleet_settings& settings);

/// Sum of the epochs of all host records.
std::uint64_t HostEpochs(const table_sources& sources);

}  // namespace radishwing::control

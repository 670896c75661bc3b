#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/maintenance/wave_view.h"

namespace radishwing::maintenance {

/// True if the wave has still to maintain `host`. A lent host is maintained
/// when it is given back.
bool Remains(const wave_view& view, const wave_host& host);

/// True if `host` remains and can be drained now.
bool Ready(const wave_view& view, const wave_pool& pool, const wave_host& host);

/// True if the wave maintained `host`, it does not serve since, and no operator
/// has excused it.
bool ReturnedUnhealthy(const wave_view& view, const wave_host& host);

/// Number of ready hosts per rack.
std::map<std::string, std::uint32_t> ReadyByRack(const wave_view& view,
                                                 const wave_pool& pool);

/// Available hosts of the failure domain whose loss would cost most.
std::uint32_t LargestRack(const wave_pool& pool);

}  // namespace radishwing::maintenance

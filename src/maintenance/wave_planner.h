#pragma once

#include <cstdint>

#include "src/maintenance/wave_plan.h"
#include "src/maintenance/wave_view.h"

namespace radishwing::maintenance {

/// The next steps of a wave. One host goes first, in the pool with most rounds
/// among those that can lose a rack besides. The number of hosts that each pool
/// may have stopped then grows with the hosts that returned healthy over the
/// whole wave (1, 2, 4 up to `wave_hosts_max`). Each pool drains one rack at a
/// time, the rack with fewest remaining hosts first, so that the narrow first
/// steps are spent on small racks. Pools with most remaining steps come first,
/// and so get spare hosts first.
///
/// The wave pauses while two of its hosts returned unhealthy or two hosts of a
/// rack have failed, a pool while one of its hosts returned unhealthy or
/// failures use up its margin. It resumes by itself when the cause is gone, or
/// when the operator excuses the hosts.
wave_plan PlanWave(const wave_view& view);

/// Hosts that a pool may have stopped at once after `done` healthy returns.
std::uint32_t WaveGrowth(std::uint32_t done, std::uint32_t wave_hosts_max);

/// Fewest rounds in which the remaining hosts of a pool can be maintained, one
/// rack at a time and without the growth at the start.
std::uint32_t RemainingRounds(const wave_view& view, const wave_pool& pool);

}  // namespace radishwing::maintenance

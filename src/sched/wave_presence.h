#pragma once

#include "src/base/clock.h"

namespace radishwing::sched {

/// What the lists of the hosts show about a host of a maintenance wave.
enum class host_presence {
  kListed,  ///< The newest list has the host.
  /// No list shows yet whether the host exists: it may have been added after
  /// the newest list was requested.
  kAwaited,
  kGone,  ///< A list had the host, the newest one has not.
  /// No list had the host within the wave's time limit.
  kNeverListed,
};

/// The lists in which a host was seen.
struct host_sightings {
  bool in_newest_list = false;
  /// A list had the host at any time, also one that an earlier leader read.
  bool in_any_list = false;
};

/// Returns what the newest list, requested at `list_requested_at`, shows about
/// a host of a wave that is known since `wave_known_since` and whose time limit
/// is `time_limit_ms`. A list that was requested before the wave was known
/// proves no absence. A host that no list had may still be about to appear, so
/// its absence counts only once the time limit of the wave is over.
host_presence PresenceOf(const host_sightings& sightings,
                         millis list_requested_at, millis wave_known_since,
                         millis time_limit_ms);

}  // namespace radishwing::sched

#include "src/sched/wave_presence.h"

namespace radishwing::sched {

host_presence PresenceOf(const host_sightings& sightings,
                         millis list_requested_at, millis wave_known_since,
                         millis time_limit_ms) {
  if (sightings.in_newest_list) return host_presence::kListed;
  if (list_requested_at <= wave_known_since) return host_presence::kAwaited;
  if (sightings.in_any_list) return host_presence::kGone;
  return list_requested_at - wave_known_since > time_limit_ms
             ? host_presence::kNeverListed
             : host_presence::kAwaited;
}

}  // namespace radishwing::sched

#pragma once

#include "review/stand_in/deployment.h"

namespace review {

/// Result of a scenario, and exit code of the program.
enum class outcome { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/// The runners of a rack lose power and start again under their ids, at new
/// addresses.
outcome PlayNewAddress(deployment& system, bool trouble);
/// The runners of a rack lose power and start again under their ids within
/// about a second.
outcome PlayShortOutage(deployment& system, bool trouble);

}  // namespace review

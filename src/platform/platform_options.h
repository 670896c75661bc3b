#pragma once

#include <string>

#include "src/base/clock.h"

namespace radishwing::platform {

/// Settings of the connection to the platform.
struct platform_options {
  std::string address;    ///< "ip:port".
  millis call_ms = 2000;  ///< Deadline of one call.
  /// Deadline of a write including the reads that resolve a lost answer.
  millis resolve_ms = 6000;
  millis attempt_ms = 800;  ///< Silence after which a read uses a new
                            ///< connection.
  millis retry_ms = 100;    ///< Pause between attempts to resolve a write.
};

}  // namespace radishwing::platform

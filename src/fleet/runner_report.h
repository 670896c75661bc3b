#pragma once

#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/resources.h"

namespace radishwing::fleet {

/// A runner's registration in the store.
struct runner_report {
  std::string id;
  std::string pool;
  std::string address;  ///< "ip:port".
  std::string data_centre;
  bool draining = false;
  millis remaining_ms = 0;  ///< Guaranteed time left while draining.
  resources capacity;       ///< Total, not free.
  std::vector<std::string> labels;
  std::string rack;            ///< Label of the rack; may be empty.
  millis started_unix_ms = 0;  ///< Start of this incarnation.
  friend bool operator==(const runner_report&, const runner_report&) = default;
};

}  // namespace radishwing::fleet

#pragma once

#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/resources.h"

namespace radishwing::fleet {

/// A runner's registration in the store.
struct runner_report {
  std::string id;
  std::string pool;         ///< Name of the pool.
  std::string address;      ///< "ip:port".
  std::string data_centre;  ///< Name of the data centre.
  bool draining = false;    ///< The runner is shutting down.
  millis remaining_ms = 0;  ///< Guaranteed time until a draining runner exits.
  resources capacity;  ///< Total capacity, including what running tasks use.
  std::vector<std::string> labels;  ///< Labels that a step can require.
  std::string rack;                 ///< Label of the rack; may be empty.
  millis started_unix_ms = 0;  ///< Unix time at which this incarnation started.
  friend bool operator==(const runner_report&, const runner_report&) = default;
};

}  // namespace radishwing::fleet

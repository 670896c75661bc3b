#pragma once

#include <cstdint>
#include <string>

#include "src/base/clock.h"
#include "src/metrics/metric_registry.h"

namespace radishwing::entry {

/// Settings of one entry process. The limits follow docs/design.md, section 5.
struct entry_options {
  std::string host = "entry-1";
  std::string data_centre = "dc-1";
  std::string caller_address = "127.0.0.1:0";  ///< "ip:port".
  std::uint64_t incarnation = 0;               ///< Start time in ms.
  std::uint64_t seed = 1;                      ///< Of the runner picker.
  clock time = clock::Monotonic();

  /// Where metrics are counted; nullptr counts nothing.
  metrics::metric_registry* registry = nullptr;

  std::size_t caller_connections_max = 10000;
  millis header_timeout_ms = 10000;
  millis idle_part_timeout_ms = 30000;    ///< Between parts of a body.
  millis keep_alive_timeout_ms = 120000;  ///< Between requests.
  millis connect_timeout_ms = 1000;
  millis balancer_delay_ms = 0;  ///< From failing readiness to no new work.
  millis tick_ms = 20;           ///< Resolution of every deadline.
};

}  // namespace radishwing::entry

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace radishwing::settings {

/// Service-level objective (SLO) of a service.
struct service_objective {
  double good_ratio = 0.999;  ///< Required fraction of good requests, 0 to 1.
  std::int64_t latency_ms = 1000;  ///< Maximum latency of a good response.
};

/// Settings object `services.<service>`.
struct service_settings {
  std::string pool;  ///< Name of the pool whose hosts run the service.
  /// True if the service accepts requests without an API key.
  bool open = false;
  /// Names of the teams that may use the service; empty for all teams.
  std::vector<std::string> teams;
  /// Maximum number of concurrent requests per runner.
  std::uint16_t runner_slots = 8;
  /// Maximum number of connections to a runner from all nodes together.
  std::uint16_t runner_connections = 64;
  /// Deadline of a request that does not specify its own.
  std::int64_t deadline_ms = 30000;
  /// Maximum run time of a request or task.
  std::int64_t longest_run_seconds = 60;
  /// Maximum size of a request body.
  std::uint64_t max_body_bytes = 64ull << 20;
  /// Maximum number of requests queued at the client API of one node.
  std::uint32_t queue_limit = 1000;
  /// Number of retries allowed per successful request, 0 to 1.
  double retry_ratio = 0.1;
  service_objective objective;
};

}  // namespace radishwing::settings

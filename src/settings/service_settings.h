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
  std::string pool;
  bool open = false;               ///< Accepts requests without an API key.
  std::vector<std::string> teams;  ///< Teams with access; empty for all teams.
  std::uint16_t runner_slots = 8;
  std::uint16_t runner_connections = 64;
  std::int64_t deadline_ms = 30000;  ///< Default if a request specifies none.
  std::int64_t longest_run_seconds = 60;
  std::uint64_t max_body_bytes = 64ull << 20;
  /// Maximum number of queued requests per frontend.
  std::uint32_t queue_limit = 1000;
  double retry_ratio = 0.1;  ///< Retry budget per successful request.
  service_objective objective;
};

}  // namespace radishwing::settings

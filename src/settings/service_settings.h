#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace radishwing::settings {

/// Service-level objective of one service.
struct service_objective {
  double good_ratio = 0.999;  ///< Part of requests that must be good, 0 to 1.
  std::int64_t latency_ms = 1000;  ///< A good answer is complete within this.
};

/// One branch `services.<service>`.
struct service_settings {
  std::string pool;
  bool open = false;               ///< Open to everyone: needs no key.
  std::vector<std::string> teams;  ///< Teams admitted; empty admits all.
  std::uint16_t runner_slots = 8;
  std::uint16_t runner_connections = 64;
  std::int64_t deadline_ms = 30000;  ///< Used if the caller names none.
  std::int64_t longest_run_seconds = 60;
  std::uint64_t max_body_bytes = 64ull << 20;
  std::uint32_t queue_limit = 1000;  ///< Requests waiting at one entry.
  double retry_ratio = 0.1;          ///< Retries per successful request.
  service_objective objective;
};

}  // namespace radishwing::settings

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace radishwing::http {

/// Limits of one client.
struct client_options {
  std::string address;  ///< "ip:port" of the server.
  std::size_t max_connections = 32;
  std::size_t max_waiting = 1000;  ///< Requests waiting for a connection.
  millis connect_ms = 1000;
  /// Longest idle time after which a connection may carry a request that must
  /// not be repeated. Servers close idle connections; within this time the
  /// race between their close and our write is unlikely.
  millis fresh_ms = 1000;
  millis idle_ms = 20000;  ///< Idle connections are closed after this.
  std::uint64_t max_body_bytes = 64ull << 20;
};

}  // namespace radishwing::http

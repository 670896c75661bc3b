#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace radishwing::http {

/// Address and limits of a client.
struct client_options {
  std::string address;  ///< "ip:port" of the server.
  std::size_t max_connections = 32;
  std::size_t max_queued_requests =
      1000;  ///< Requests queued for a connection.
  millis connect_timeout_ms = 1000;
  /// Longest idle time after which a connection may be reused for a request
  /// that is not idempotent. Servers close idle connections; a short limit
  /// makes it unlikely that the server closes the connection while the client
  /// writes to it.
  millis max_idle_for_non_idempotent_ms = 1000;
  /// Longest idle time after which a connection may be reused at all. Checked
  /// when a request looks for an idle connection.
  millis max_idle_ms = 20000;
  std::uint64_t max_body_bytes = 64ull << 20;
};

}  // namespace radishwing::http

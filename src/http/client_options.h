#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/clock.h"
#include "src/http/link_hooks.h"

namespace radishwing::http {

/// Server address, connection limits and time limits of a client.
struct client_options {
  std::string address;  ///< "ip:port" of the server.
  std::size_t max_connections = 32;
  /// Largest number of requests that wait for a connection. While this many
  /// requests wait, further requests fail with kFull.
  std::size_t max_queued_requests = 1000;
  millis connect_timeout_ms = 1000;
  /// Longest idle time after which a connection may be reused for a request
  /// that is not idempotent. A short limit makes it unlikely that the server
  /// closes the idle connection while the client writes to it.
  millis max_idle_for_non_idempotent_ms = 1000;
  /// Longest idle time after which a connection may be reused for an idempotent
  /// request. The client closes connections that exceed this limit only when a
  /// request needs a connection.
  millis max_idle_ms = 20000;
  /// TCP resets a connection whose sent bytes stay unacknowledged for this
  /// long, so that a network partition cannot hold a request back and deliver
  /// it later; 0: the system's default.
  millis unacknowledged_timeout_ms = 0;
  link_hooks link;
  /// A larger response body fails the request with kInternal.
  std::uint64_t max_body_bytes = 64ull << 20;
};

}  // namespace radishwing::http

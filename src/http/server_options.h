#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/clock.h"
#include "src/http/link_hooks.h"

namespace radishwing::http {

/// Listening address, size limits and time limits of a server.
struct server_options {
  std::string address = "127.0.0.1:0";  ///< Port 0 selects a free port.
  /// Largest number of open connections. The server closes further ones as soon
  /// as it has accepted them.
  std::size_t max_connections = 1000;
  traffic_hook count_traffic;  ///< Null: traffic is not counted.
  /// The server rejects a request with a larger header with 431.
  std::uint32_t max_header_bytes = 16 * 1024;
  /// The server rejects a request with a larger body with 413.
  std::uint64_t max_body_bytes = 4ull << 20;
  /// Time limit for receiving a complete header. On expiry the server responds
  /// with 408, or closes the connection if nothing was received.
  millis header_timeout_ms = 10000;
  /// Time limit for receiving a complete body. On expiry the server responds
  /// with 408.
  millis body_timeout_ms = 30000;
  /// Time without a request after which the server closes a connection.
  millis idle_timeout_ms = 60000;
  /// Time limit for sending a complete response. On expiry the server closes
  /// the connection.
  millis write_timeout_ms = 30000;
};

}  // namespace radishwing::http

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace radishwing::http {

/// Address and limits of a server.
struct server_options {
  std::string address = "127.0.0.1:0";  ///< Port 0 selects a free port.
  /// Further connections are closed as soon as they are accepted.
  std::size_t max_connections = 1000;
  std::uint32_t max_header_bytes = 16 * 1024;  ///< Exceeding it yields 431.
  std::uint64_t max_body_bytes = 4ull << 20;   ///< Exceeding it yields 413.
  /// Time to receive a complete header. Exceeding it yields 408.
  millis header_timeout_ms = 10000;
  /// Time to receive a complete body. Exceeding it yields 408.
  millis body_timeout_ms = 30000;
  /// Time between requests after which the server closes the connection.
  millis idle_timeout_ms = 60000;
  /// Time to send a complete response.
  millis write_timeout_ms = 30000;
};

}  // namespace radishwing::http

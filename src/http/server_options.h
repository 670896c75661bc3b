#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace radishwing::http {

/// Limits of one server.
struct server_options {
  std::string address = "127.0.0.1:0";  ///< Port 0 takes a free port.
  std::size_t max_connections = 1000;   ///< More are closed when accepted.
  std::uint32_t max_header_bytes = 16 * 1024;  ///< Above it 431.
  std::uint64_t max_body_bytes = 4ull << 20;   ///< Above it 413.
  millis header_ms = 10000;  ///< For a complete header; then 408.
  millis body_ms = 30000;    ///< For a complete body; then 408.
  millis idle_ms = 60000;    ///< Between requests; then the server closes.
  millis write_ms = 30000;   ///< For the client to take a response.
};

}  // namespace radishwing::http

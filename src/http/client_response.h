#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/http/header_field.h"

namespace radishwing::http {

/// A response, received completely by a client.
struct client_response {
  unsigned status = 0;  ///< HTTP status code.
  std::vector<header_field> headers;
  std::string body;
  /// Number of the connection, see client::EstablishedConnections.
  std::uint64_t connection = 0;
};

}  // namespace radishwing::http

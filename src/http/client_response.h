#pragma once

#include <string>
#include <vector>

#include "src/http/header_field.h"

namespace radishwing::http {

/// A response, received completely by a client.
struct client_response {
  unsigned status = 0;  ///< HTTP status code.
  std::vector<header_field> headers;
  std::string body;
};

}  // namespace radishwing::http

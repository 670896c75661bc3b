#pragma once

#include <string>
#include <vector>

#include "src/http/header_field.h"

namespace radishwing::http {

/// A completely received response.
struct client_response {
  unsigned status = 0;
  std::vector<header_field> headers;
  std::string body;
};

}  // namespace radishwing::http

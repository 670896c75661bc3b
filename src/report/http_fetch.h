#pragma once

#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/http/client_request.h"
#include "src/http/client_response.h"

namespace radishwing::report {

/// Sends one HTTP request to the server at `address`, "ip:port", and blocks
/// until the response arrives or the request fails.
result<http::client_response> SendHttpRequest(const std::string& address,
                                              http::client_request request);

}  // namespace radishwing::report

#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "src/http/header_field.h"

namespace radishwing::http {

/// How the server handles a response.
enum class disposition {
  kSend,
  /// Closes the connection without sending a response. Used by fakes.
  kClose,
  /// Leaves the connection open without sending a response. Used by fakes.
  kNoResponse,
};

/// The response of a handler.
struct server_response {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<header_field> headers;
  http::disposition disposition = http::disposition::kSend;
};

/// A response with a JSON body.
server_response JsonResponse(unsigned status, const boost::json::value& body);

/// An error response with the body `{"reason":…,"message":…}`, the common form
/// of errors from all servers of this project.
server_response ErrorResponse(unsigned status, std::string_view reason,
                              std::string_view message);

}  // namespace radishwing::http

#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "src/http/header_field.h"

namespace radishwing::http {

/// What the server does with a response.
enum class disposition {
  kSend,
  kClose,   ///< Closes the connection without a response (for fakes).
  kSilent,  ///< Leaves the connection open and never answers (for fakes).
};

/// The answer of a handler.
struct server_response {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<header_field> headers;
  http::disposition disposition = http::disposition::kSend;
};

/// A response with a JSON body.
server_response JsonResponse(unsigned status, const boost::json::value& body);

/// `{"reason":…,"message":…}`, the form of every error of our servers.
server_response ErrorResponse(unsigned status, std::string_view reason,
                              std::string_view message);

}  // namespace radishwing::http

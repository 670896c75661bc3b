#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "src/http/header_field.h"

namespace radishwing::http {

/// What the server does when a handler passes it a server_response.
enum class response_action {
  /// Sends the response to the client.
  kSend,
  /// Closes the connection without sending a response. Fake servers use it
  /// to simulate a failure during a request.
  kCloseConnection,
  /// Sends no response, leaves the connection open and discards what the client
  /// sends. Fake servers use it to simulate an unresponsive server.
  kNeverRespond,
};

/// A response that a handler passes to the server.
struct server_response {
  unsigned status = 200;  ///< HTTP status code.
  std::string body;
  std::string content_type = "application/json";
  std::vector<header_field> headers;
  http::response_action action = http::response_action::kSend;
};

/// Creates a response that the server sends with `body` serialized as JSON.
server_response MakeJsonResponse(unsigned status,
                                 const boost::json::value& body);

/// Creates a response with the JSON body `{"reason":…,"message":…}`, the format
/// in which all servers of this project report errors. `reason` is a code for
/// programs, and `message` a text for people.
server_response MakeErrorResponse(unsigned status, std::string_view reason,
                                  std::string_view message);

}  // namespace radishwing::http

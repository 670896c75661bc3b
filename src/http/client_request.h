#pragma once

#include <boost/beast/http/verb.hpp>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/http/header_field.h"

namespace radishwing::http {

/// One request of a client.
struct client_request {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string target = "/";
  std::vector<header_field> headers;
  std::string body;
  /// From Send to the complete response, in ms, connecting and waiting for a
  /// connection included.
  millis deadline_ms = 2000;
  /// True if running the request twice does no harm. It is then sent again on
  /// a new connection when an attempt breaks or stays silent.
  bool repeatable = false;
  /// Silence after which a repeatable request abandons its connection, in ms.
  millis attempt_ms = 1000;
};

}  // namespace radishwing::http

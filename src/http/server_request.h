#pragma once

#include <boost/beast/http/verb.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/http/header_field.h"
#include "src/http/target.h"

namespace radishwing::http {

/// A request, received completely by a server and passed to its handler.
struct server_request {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  http::target target;
  std::vector<header_field> headers;
  std::string body;
  /// Identifier of the connection that carried the request. The server numbers
  /// connections in the order in which it accepts them, from 1.
  std::uint64_t connection_id = 0;

  /// Returns the value of the first header field named `name`
  /// (case-insensitive), or an empty view if there is none.
  std::string_view HeaderValue(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

}  // namespace radishwing::http

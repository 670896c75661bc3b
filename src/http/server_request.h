#pragma once

#include <boost/beast/http/verb.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/http/header_field.h"
#include "src/http/target.h"

namespace radishwing::http {

/// A completely received request, as passed to the handler.
struct server_request {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  http::target target;
  std::vector<header_field> headers;
  std::string body;
  /// Identifier of the connection. Increases with each accepted connection.
  std::uint64_t connection_id = 0;

  std::string_view Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

}  // namespace radishwing::http

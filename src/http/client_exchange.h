#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

#include "src/http/client.h"

namespace radishwing::http {

/// One connection of a client. Used by one exchange at a time.
struct client_connection {
  explicit client_connection(boost::asio::io_context& io) : socket(io) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::chrono::steady_clock::time_point idle_since;
  bool reused = false;
  /// Set by whoever closes it; handlers that find it set do nothing.
  bool closed = false;
};

/// A request on its way, from Send to its completion.
struct client_exchange {
  explicit client_exchange(boost::asio::io_context& io) : timer(io) {}

  client_request request;
  client::completion completion;
  std::chrono::steady_clock::time_point deadline;
  boost::asio::steady_timer timer;
  std::shared_ptr<client_connection> connection;  ///< Null while waiting.
  int attempts = 0;
  bool written = false;  ///< A byte may have left in some attempt.
  boost::beast::http::request<boost::beast::http::string_body> message;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser;
};

}  // namespace radishwing::http

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

/// A client connection, used by at most one exchange at a time.
struct client_connection {
  explicit client_connection(boost::asio::io_context& io) : socket(io) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer read_buffer;
  std::chrono::steady_clock::time_point idle_since;
  bool reused = false;
  /// Set when the connection is closed. Handlers that run afterwards have no
  /// effect.
  bool closed = false;
};

/// State of a request from Send to its completion.
struct client_exchange {
  explicit client_exchange(boost::asio::io_context& io) : timer(io) {}

  client_request request;
  client::completion completion;
  std::chrono::steady_clock::time_point deadline;
  boost::asio::steady_timer timer;
  std::shared_ptr<client_connection> connection;  ///< Null while queued.
  int attempts_started = 0;
  /// Some attempt may have sent a part of the request.
  bool may_have_sent = false;
  boost::beast::http::request<boost::beast::http::string_body> request_message;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      response_parser;
};

}  // namespace radishwing::http

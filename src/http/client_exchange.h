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

/// A connection of a client. Carries at most one request at a time.
struct client_connection {
  explicit client_connection(boost::asio::io_context& io) : socket(io) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer read_buffer;
  /// See client::EstablishedConnections; 0 before it is established.
  std::uint64_t number = 0;
  /// Time at which the last response on this connection was complete.
  std::chrono::steady_clock::time_point idle_since;
  /// True if the connection has carried an earlier request.
  bool reused = false;
  /// True once the client has closed the socket. An I/O handler that runs later
  /// returns without effect.
  bool closed = false;
};

/// A request and its attempts, from Send until the completion function is
/// called.
struct client_exchange {
  explicit client_exchange(boost::asio::io_context& io) : timer(io) {}

  /// The request that was passed to Send, except for its body, which is in
  /// request_message.
  client_request request;
  client::completion completion;
  /// Time by which the complete response must have arrived, or the next part of
  /// it if the request has a progress timeout.
  std::chrono::steady_clock::time_point deadline;
  /// Time until which `deadline` is extended while the link is congested.
  std::chrono::steady_clock::time_point congested_deadline;
  /// Time after which progress no longer extends `deadline`.
  std::chrono::steady_clock::time_point last_deadline;
  /// Time limit of the current step, see client::impl::ArmTimer.
  std::chrono::steady_clock::time_point step_deadline;
  /// Expires at `step_deadline` or earlier.
  boost::asio::steady_timer timer;
  bool timer_armed = false;  ///< A wait for `timer` is pending.
  /// Null while the request is queued.
  std::shared_ptr<client_connection> connection;
  /// Number of attempts so far, including the current one.
  int attempts_started = 0;
  /// True if any attempt may have sent a part of the request.
  bool may_have_sent = false;
  /// Bytes of the response to the current attempt that have arrived.
  std::size_t received_bytes = 0;
  boost::beast::http::request<boost::beast::http::string_body> request_message;
  /// Parses the response to the current attempt.
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser;
};

}  // namespace radishwing::http

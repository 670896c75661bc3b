#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

#include "src/http/server.h"

namespace radishwing::http {

/// Implementation of server. The sessions of the server hold only weak
/// references to this object.
struct server::impl : std::enable_shared_from_this<server::impl> {
  impl(boost::asio::io_context& io, server_options options, handler handler)
      : io(io),
        options(std::move(options)),
        request_handler(std::move(handler)),
        acceptor(io),
        accept_retry_timer(io) {}

  /// Accepts connections until Stop or Drain. Retries after a delay if
  /// accepting fails.
  void AcceptNextConnection();
  /// Serves the connection, or closes it if max_connections are open.
  void StartSession(boost::asio::ip::tcp::socket socket);
  /// Closes the listening socket and every connection.
  void Stop();

  boost::asio::io_context& io;
  server_options options;
  handler request_handler;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer accept_retry_timer;
  /// Sessions of all open connections.
  std::set<std::shared_ptr<server_session>> sessions;
  std::uint64_t last_connection_id = 0;  ///< See server::LastConnectionId.
  std::size_t requests_in_flight = 0;    ///< See server::RequestsInFlight.
  bool draining = false;                 ///< True once Drain was called.
  bool stopped = false;                  ///< True once Stop was called.
};

}  // namespace radishwing::http

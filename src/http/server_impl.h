#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

#include "src/http/server.h"

namespace radishwing::http {

/// Implementation of server. Sessions hold weak references to it.
struct server::impl : std::enable_shared_from_this<server::impl> {
  impl(boost::asio::io_context& io, server_options options, handler handler)
      : io(io),
        options(std::move(options)),
        request_handler(std::move(handler)),
        acceptor(io),
        accept_retry_timer(io) {}

  void AcceptNextConnection();
  void StartSession(boost::asio::ip::tcp::socket socket);
  void Stop();

  boost::asio::io_context& io;
  server_options options;
  handler request_handler;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer accept_retry_timer;
  std::set<std::shared_ptr<server_session>> sessions;
  std::uint64_t last_connection_id = 0;
  std::size_t in_flight = 0;
  bool draining = false;
  bool stopped = false;
};

}  // namespace radishwing::http

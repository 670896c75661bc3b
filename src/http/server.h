#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/base/result.h"
#include "src/http/server_options.h"
#include "src/http/server_request.h"
#include "src/http/server_response.h"

namespace radishwing::http {

class server_session;

/// An HTTP/1.1 server for small requests and responses, whose bodies it holds
/// in memory. It responds to malformed requests with 400, to oversized headers
/// with 431, to oversized bodies with 413 and to requests that arrive too
/// slowly with 408, and then closes the connection.
///
/// Not thread-safe: every method must be called on the thread that runs `io`.
/// The server calls the handler on that thread, and the handler's responders
/// must be called there too.
class server {
 public:
  /// Sends the response to one request. May be called at any later time, even
  /// after the server is destroyed; must be called only once.
  using responder = std::function<void(server_response)>;
  /// Executes one request and passes the response to the responder, immediately
  /// or later. If the handler throws, the server responds with status 500.
  using handler = std::function<void(server_request, responder)>;

  /// Binds the address and starts to accept connections. Fails with kInvalid if
  /// the address is malformed and with kUnavailable if it cannot be bound.
  static result<std::unique_ptr<server>> Make(boost::asio::io_context& io,
                                              server_options options,
                                              handler handler);
  /// Closes every connection, also those with a request in progress.
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// The bound address as "ip:port".
  std::string Address() const;

  /// Stops accepting connections and closes those that wait for a further
  /// request. Closes each other connection after the response to its current
  /// request. If no request has arrived on a connection yet, closes the
  /// connection after the response to the first request.
  void Drain();

  /// Number of completely received requests whose response has not been sent
  /// completely.
  std::size_t RequestsInFlight() const;
  /// Number of open connections, including idle ones.
  std::size_t OpenConnections() const;
  /// The server_request::connection_id of the most recently accepted
  /// connection, or 0 if none was accepted.
  std::uint64_t LastConnectionId() const;

 private:
  friend class server_session;
  struct impl;
  explicit server(std::shared_ptr<impl> impl);
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::http

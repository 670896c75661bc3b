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

/// An HTTP/1.1 server for small endpoints such as the operator port, the
/// metrics port and test fakes. Bodies are held in memory. The server rejects
/// malformed requests with 400, oversized headers with 431, oversized bodies
/// with 413 and requests that arrive too slowly with 408, and closes their
/// connections.
///
/// Not thread-safe: every method must be called on the thread that runs `io`.
/// The handler runs on that thread, and responders must be called there.
class server {
 public:
  /// Sends the response. May be called at any time, even after the server is
  /// destroyed; a second call has no effect.
  using responder = std::function<void(server_response)>;
  /// Handles one request. An exception thrown by the handler is answered with
  /// status 500.
  using handler = std::function<void(server_request, responder)>;

  /// Binds the address and starts to accept connections. Fails with kInvalid if
  /// the address is malformed and with kUnavailable if it cannot be bound.
  static result<std::unique_ptr<server>> Make(boost::asio::io_context& io,
                                              server_options options,
                                              handler handler);
  /// Closes every connection.
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// The bound address as "ip:port".
  std::string Address() const;

  /// Stops accepting connections, closes the idle ones and closes each of the
  /// others after the response to its current request.
  void Drain();

  /// Number of requests whose response has not been sent completely.
  std::size_t InFlight() const;
  std::size_t OpenConnections() const;
  /// Identifier of the most recently accepted connection, see
  /// server_request::connection_id.
  std::uint64_t LastConnectionId() const;

 private:
  friend class server_session;
  struct impl;
  explicit server(std::shared_ptr<impl> impl);
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::http

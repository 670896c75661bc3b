#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "src/base/result.h"
#include "src/http/client_options.h"
#include "src/http/client_request.h"
#include "src/http/client_response.h"

namespace radishwing::http {

/// An HTTP/1.1 client for a single server with a pool of keep-alive
/// connections. When a response does not arrive in time, the client closes the
/// connection of the request and all idle connections, so that the next request
/// opens a new connection.
///
/// Not thread-safe: every method must be called on the thread that runs `io`.
/// Completion functions run on that thread, never inside the call to Send. A
/// completion function that has not run when the client is destroyed is never
/// called.
///
/// Failures that a completion function receives:
/// - kUnavailable: no byte of the request was sent.
/// - kTimeout: a part of the request may have been sent, and the server may
///   have executed it.
/// - kInternal: the response is malformed or too large; the server may have
///   executed the request.
/// - kFull: client_options::max_queued_requests requests are already queued.
class client {
 public:
  /// Receives the response to one request, or the failure.
  using completion = std::function<void(result<client_response>)>;

  /// Creates a client without connecting. Fails with kInvalid if the address is
  /// malformed.
  static result<std::unique_ptr<client>> Make(boost::asio::io_context& io,
                                              client_options options);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  /// Sends the request when a connection is available, and calls `completion`
  /// once.
  void Send(client_request request, completion completion);

  /// Number of connections established so far. Connections are numbered from 1
  /// in the order in which they are established, so all that are open now have
  /// at most this number.
  std::uint64_t EstablishedConnections() const;
  /// Number of open connections, including idle ones.
  std::size_t OpenConnections() const;

 private:
  struct impl;
  explicit client(std::shared_ptr<impl> impl);
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::http

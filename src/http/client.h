#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "src/base/result.h"
#include "src/http/client_options.h"
#include "src/http/client_request.h"
#include "src/http/client_response.h"

namespace radishwing::http {

/// An HTTP/1.1 client for a single server with a pool of keep-alive
/// connections. A connection on which a response does not arrive in time is
/// closed together with all idle connections, so that the next request opens a
/// new one.
///
/// Not thread-safe: every method must be called on the thread that runs `io`.
/// Completions run on that thread and never within Send. Destroying the client
/// discards the completions that have not run.
///
/// Failures:
/// - kUnavailable: no byte of the request was sent.
/// - kTimeout: at least a part of the request may have been sent; its effect is
///   unknown.
/// - kInternal: the response is malformed or too large; the effect of the
///   request is unknown.
/// - kFull: too many requests are queued.
class client {
 public:
  using completion = std::function<void(result<client_response>)>;

  /// Creates a client without connecting. Fails with kInvalid if the address is
  /// malformed.
  static result<std::unique_ptr<client>> Make(boost::asio::io_context& io,
                                              client_options options);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  void Send(client_request request, completion completion);

  /// Number of open connections, including idle ones.
  std::size_t OpenConnections() const;

 private:
  struct impl;
  explicit client(std::shared_ptr<impl> impl);
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::http

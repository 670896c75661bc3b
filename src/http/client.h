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

/// An HTTP/1.1 client of one server. Keeps connections alive and reuses them;
/// a connection that stays silent past a deadline is closed together with the
/// idle ones, and the next request uses a new connection.
///
/// Every method is called on the thread that runs `io`, and completions run
/// there, never inside Send. Destroying the client drops the completions that
/// have not run.
///
/// Failures: kUnavailable, no byte of the request was sent; kTimeout, it was
/// sent at least in part and its effect is unknown; kInternal, the response is
/// malformed or too large (the effect is unknown as well); kFull, too many
/// requests are waiting.
class client {
 public:
  using completion = std::function<void(result<client_response>)>;

  /// Fails with kInvalid if the address is malformed. Does not connect.
  static result<std::unique_ptr<client>> Make(boost::asio::io_context& io,
                                              client_options options);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  void Send(client_request request, completion completion);

  /// Open connections, idle ones included.
  std::size_t OpenConnections() const;

 private:
  struct impl;
  explicit client(std::shared_ptr<impl> impl);
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::http

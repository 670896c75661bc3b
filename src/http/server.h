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

/// An HTTP/1.1 server for small endpoints: operator port, metrics port, fakes.
/// Bodies are held in memory. Malformed requests get 400, oversize headers 431,
/// oversize bodies 413, slow senders 408, and their connection is closed.
///
/// Every method is called on the one thread that runs `io`; the handler and
/// the responders run there as well.
class server {
 public:
  /// Sends the response. May be called at any time, also after the server is
  /// gone; a second call has no effect.
  using responder = std::function<void(server_response)>;
  /// An exception that leaves the handler becomes 500.
  using handler = std::function<void(server_request, responder)>;

  /// Binds and starts to accept. Fails with kInvalid for a malformed address
  /// and kUnavailable if the address cannot be bound.
  static result<std::unique_ptr<server>> Make(boost::asio::io_context& io,
                                              server_options options,
                                              handler handler);
  /// Closes every connection.
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// The bound "ip:port".
  std::string Address() const;

  /// Accepts no more connections, closes the idle ones and closes the others
  /// after the response to their current request.
  void Drain();

  /// Requests whose response has not been sent completely.
  std::size_t InFlight() const;
  std::size_t Connections() const;
  /// Number of the newest connection, see server_request::connection.
  std::uint64_t LastConnection() const;

 private:
  friend class server_session;
  struct impl;
  explicit server(std::shared_ptr<impl> impl);
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::http

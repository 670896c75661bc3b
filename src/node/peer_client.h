#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/http/client.h"

namespace radishwing::node {

/// HTTP client for calls to other nodes. Reports the failures of http::client,
/// kDenied if the other node responded that it does not lead or is not ready
/// to, and kUnavailable if the response status is another one than 200.
class peer_client {
 public:
  using completion = std::function<void(result<std::string>)>;

  peer_client(boost::asio::io_context& io, http::link_hooks link)
      : io_(io), link_(std::move(link)) {}

  /// Sends `body` as a POST request to `target` on the node at `address`.
  /// `first_byte_timeout_ms` is the time limit from sending to the first byte
  /// of the response, whose body `done` receives.
  void Call(const std::string& address, std::string target, std::string body,
            millis first_byte_timeout_ms, completion done);
  /// Calls `next` after `delay`, unless this client is destroyed before.
  void CallLater(millis delay, std::function<void()> next);

 private:
  boost::asio::io_context& io_;
  http::link_hooks link_;
  /// Keyed by the address of the other node.
  std::map<std::string, std::unique_ptr<http::client>> clients_;
  /// Expires with this client; pending timers check it.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace radishwing::node

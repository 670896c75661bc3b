#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace radishwing::fleet_fake {

/// Forwards TCP connections to a server at a limited rate, like a network link
/// of low bandwidth. All connections share the rate, each direction has its
/// own. Not thread-safe.
class narrow_link {
 public:
  /// `target` is the "ip:port" of the server. `bytes_per_s` is the rate of each
  /// direction.
  narrow_link(boost::asio::io_context& io, const std::string& target,
              std::size_t bytes_per_s);
  ~narrow_link();

  /// Address that clients connect to in place of the server's.
  std::string Address() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::fleet_fake

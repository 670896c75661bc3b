#pragma once

#include <cstddef>
#include <functional>

namespace radishwing::http {

/// Receives the numbers of bytes that were sent and received on connections
/// since its last call.
using traffic_hook =
    std::function<void(std::size_t sent, std::size_t received)>;

/// Functions that report on the network link of a client; all may be null.
struct link_hooks {
  traffic_hook count_traffic;
  /// Returns true if responses may be late only because of other traffic on the
  /// link. A request with a progress timeout then waits longer for the first
  /// byte of its response.
  std::function<bool()> is_congested;
};

}  // namespace radishwing::http

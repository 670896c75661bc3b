#pragma once

#include <cstddef>
#include <functional>

namespace radishwing::http {

/// Receives the numbers of bytes that were sent and received on connections
/// since its last call.
using traffic_hook =
    std::function<void(std::size_t sent, std::size_t received)>;

}  // namespace radishwing::http

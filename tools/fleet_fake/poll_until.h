#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace radishwing::fleet_fake {

/// Calls `step` immediately and then every few milliseconds until it returns
/// true. Implements the long-polling responses of the fakes.
void PollUntil(boost::asio::io_context& io, std::function<bool()> step);

}  // namespace radishwing::fleet_fake

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace radishwing::fleet_fake {

/// Calls `step` now and every few milliseconds until it returns true. For
/// answers that a stand-in holds back.
void PollUntil(boost::asio::io_context& io, std::function<bool()> step);

}  // namespace radishwing::fleet_fake

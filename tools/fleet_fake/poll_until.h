#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace radishwing::fleet_fake {

/// Calls `try_respond` immediately and then every few milliseconds until it
/// returns true. The fakes use it to respond to long polls.
void PollUntil(boost::asio::io_context& io, std::function<bool()> try_respond);

}  // namespace radishwing::fleet_fake

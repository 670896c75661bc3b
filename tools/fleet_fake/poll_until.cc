#include "tools/fleet_fake/poll_until.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace radishwing::fleet_fake {
namespace {

constexpr std::chrono::milliseconds kPollInterval{5};

}  // namespace

void PollUntil(boost::asio::io_context& io, std::function<bool()> try_respond) {
  if (try_respond()) return;
  auto timer = std::make_shared<boost::asio::steady_timer>(io, kPollInterval);
  timer->async_wait([&io, timer, try_respond = std::move(try_respond)](
                        boost::system::error_code error) {
    if (!error) PollUntil(io, try_respond);
  });
}

}  // namespace radishwing::fleet_fake

#include "src/entry/serve_inbox.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <thread>

namespace radishwing::entry {
namespace {

constexpr int kWaits = 1000;
constexpr std::chrono::milliseconds kWait(1);

}  // namespace

serve_inbox::serve_inbox(boost::asio::io_context& context, std::size_t capacity)
    : context_(context), ring_(capacity, [this] {
        boost::asio::post(context_, [this] { Drain(); });
      }) {}

bool serve_inbox::Post(task work) {
  if (context_.get_executor().running_in_this_thread()) {
    boost::asio::post(context_, std::move(work));
    return true;
  }
  for (int i = 0; i < kWaits; ++i) {
    // A full ring leaves `work` unchanged.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    if (ring_.TryPush(std::move(work))) return true;
    std::this_thread::sleep_for(kWait);
  }
  return false;
}

void serve_inbox::PostSnapshot(rpc::snapshot snapshot,
                               std::function<void(rpc::snapshot)> apply) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    bool pending = snapshot_.has_value();
    snapshot_ = std::move(snapshot);
    if (pending) return;
  }
  boost::asio::post(context_, [this, apply = std::move(apply)] {
    std::optional<rpc::snapshot> newest;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      newest.swap(snapshot_);
    }
    if (newest) apply(std::move(*newest));
  });
}

void serve_inbox::Drain() {
  while (auto work = ring_.TryPop()) (*work)();
}

}  // namespace radishwing::entry

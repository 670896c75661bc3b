#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/store_client.h"
#include "src/base/clock.h"

namespace radishwing::node {

/// Parameters of a store_watch.
struct store_watch_options {
  std::string prefix;
  millis wait_ms = 1000;  ///< Longest time the store may delay a reply.
  millis gap_ms = 0;      ///< Pause between two watch calls.
};

/// Callbacks of a store_watch.
struct store_watch_hooks {
  /// All keys: once at the start, and again after the store dropped its
  /// history.
  std::function<void(const std::vector<store::store_item>&)> snapshot;
  /// A changed key; revision 0 means that it was removed.
  std::function<void(const store::store_item&)> change;
  /// Every change that the store had at `asked_at` has been reported.
  std::function<void(millis asked_at)> caught_up;
  /// A call failed and will be retried.
  std::function<void(const failure&)> failed;
};

/// Watches the keys with a given prefix until it is destroyed.
class store_watch {
 public:
  store_watch(boost::asio::io_context& io, platform::store_client& store,
              clock clock, store_watch_options options,
              store_watch_hooks hooks);
  ~store_watch();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node

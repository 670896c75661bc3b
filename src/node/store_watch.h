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
  std::string prefix;     ///< Prefix of the watched keys.
  millis wait_ms = 1000;  ///< Maximum time that the store waits for a change.
  millis gap_ms = 0;      ///< Pause from a reply to the next watch call.
  /// Reads all keys again, instead of following the history, after a reply with
  /// more than one value of a key. For large values on narrow links, which
  /// cannot carry every value that a key has had.
  bool skip_superseded_values = false;
};

/// Callbacks of a store_watch. All but `snapshot` and `change` may be empty.
struct store_watch_hooks {
  /// Receives all items with the prefix: after the first read, and again when
  /// changes were missed because the store had discarded its history.
  std::function<void(const std::vector<store::store_item>&)> snapshot;
  /// Receives a changed item; revision 0 means that its key was removed.
  std::function<void(const store::store_item&)> change;
  /// All changes that the store had made by `asked_at` have been reported.
  std::function<void(millis asked_at)> caught_up;
  /// The store has discarded its history, so all keys are read again.
  std::function<void()> history_lost;
  /// A call to the store failed and will be retried.
  std::function<void(const failure&)> failed;
};

/// Reads all keys with a prefix and then reports their changes, until it is
/// destroyed.
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

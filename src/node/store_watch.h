#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/store_client.h"
#include "src/base/clock.h"

namespace radishwing::node {

/// How a store_watch reads.
struct store_watch_options {
  std::string prefix;
  millis wait_ms = 1000;  ///< The store holds an answer back this long.
  millis gap_ms = 0;      ///< Pause between two calls.
};

/// What a store_watch tells.
struct store_watch_hooks {
  /// All keys, at first and whenever the history was lost.
  std::function<void(const std::vector<store::store_item>&)> snapshot;
  /// One key; revision 0 means that it was removed.
  std::function<void(const store::store_item&)> change;
  /// All that the store had at `asked_at` has been told.
  std::function<void(millis asked_at)> current;
  /// A call failed; it is tried again.
  std::function<void(const failure&)> failed;
};

/// Follows the keys with a prefix. Destroying it ends the watch.
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

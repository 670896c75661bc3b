#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "src/platform/kv_store.h"

namespace radishwing::platform {

struct prefix_watch_options {
  std::string prefix;
  /// Length of one wait. Also bounds how long a connection that went silent
  /// stays unnoticed; settings must be in effect within 9 s.
  millis wait_ms = 3000;
  millis retry_ms = 500;  ///< Pause after a failed call.
};

/// What a watch tells. All run on the thread of the io_context.
struct prefix_watch_hooks {
  /// Everything under the prefix: replaces what was known.
  std::function<void(kv_page)> on_snapshot;
  /// Changes since the last page, oldest first, deletions included.
  std::function<void(kv_page)> on_changes;
  /// The store became reachable or unreachable; may be empty.
  std::function<void(bool reachable)> on_reach;
};

/// Follows the keys under a prefix: reads them once, then waits for changes,
/// over outages and lost connections, without missing one. Costs one call per
/// `wait_ms` or change. Stops when destroyed; the store must outlive it.
class prefix_watch {
 public:
  prefix_watch(boost::asio::io_context& io, kv_store& store,
               prefix_watch_options options, prefix_watch_hooks hooks);
  ~prefix_watch();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::platform

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/fleet/node_settings.h"

namespace radishwing::node {

/// A server process of the scheduler. The node serves clients. While it is the
/// elected leader, it also schedules the shard's tasks; the tasks run on other
/// processes, the runners. All work of the node is done on the thread that runs
/// `io`.
class node_server {
 public:
  /// Creates a node that listens on the addresses in `settings`. `stopped` is
  /// called when the shutdown that Stop starts is complete.
  static result<std::unique_ptr<node_server>> Make(
      boost::asio::io_context& io, fleet::node_settings settings,
      std::function<void()> stopped);
  ~node_server();

  /// Returns the address at which the node serves clients. If the settings ask
  /// for port 0, it contains the port that the system chose.
  std::string ClientApiAddress() const;
  /// Ends the node's leadership, if it has one, after an unexpected error: the
  /// leader's state may be inconsistent, and the next leader loads it anew from
  /// the store. Everything else goes on.
  void RecoverFromError(std::string_view error);
  /// Applies the time limits in `settings`, but no other changes.
  void Reload(const fleet::node_settings& settings);
  /// Starts a shutdown and returns: the node hands over its leadership, serves
  /// clients until shortly before `shutdown_grace_ms` is over, and then stops.
  void Stop();

 private:
  struct impl;
  explicit node_server(std::shared_ptr<impl> impl);
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node

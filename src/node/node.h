#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "src/base/result.h"
#include "src/fleet/node_settings.h"

namespace radishwing::node {

/// One radishwing node: serves callers, and leads the shard if it is elected.
/// Everything runs on the thread of `io`.
class node {
 public:
  /// Binds the addresses of the settings. `stopped` runs when a stop is over.
  static result<std::unique_ptr<node>> Make(boost::asio::io_context& io,
                                            fleet::node_settings settings,
                                            std::function<void()> stopped);
  ~node();

  /// Takes over bounds of changed settings; addresses stay as they are.
  void Reload(const fleet::node_settings& settings);
  /// Hands leadership over, serves open connections until the grace time is
  /// nearly over, then stops.
  void Stop();

 private:
  struct impl;
  explicit node(std::shared_ptr<impl> impl);
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node

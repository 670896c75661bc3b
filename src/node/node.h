#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "src/base/result.h"
#include "src/fleet/node_settings.h"

namespace radishwing::node {

/// The process that serves clients and, if it is elected, leads the scheduling
/// of the shard; it is not a host that runs tasks. All work is done on the
/// thread that runs `io`.
class node {
 public:
  /// Binds the addresses in `settings`. `stopped` is called once Stop has
  /// completed.
  static result<std::unique_ptr<node>> Make(boost::asio::io_context& io,
                                            fleet::node_settings settings,
                                            std::function<void()> stopped);
  ~node();

  /// Applies changed time limits. The addresses are not changed.
  void Reload(const fleet::node_settings& settings);
  /// Hands over the leadership, keeps serving until shortly before the grace
  /// time ends, then stops.
  void Stop();

 private:
  struct impl;
  explicit node(std::shared_ptr<impl> impl);
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node

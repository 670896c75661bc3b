#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "platform/store_client.h"
#include "src/base/clock.h"
#include "src/fleet/fleet_config.h"
#include "src/fleet/node_settings.h"
#include "src/node/event_log.h"
#include "src/node/member_table.h"
#include "src/node/node_metrics.h"

namespace radishwing::node {

/// What the parts of a node share. Lives as long as the process; used on the
/// thread of `io` only.
struct node_context {
  node_context(boost::asio::io_context& io, fleet::node_settings settings)
      : io(io), settings(std::move(settings)) {}

  boost::asio::io_context& io;
  fleet::node_settings settings;
  clock now = clock::WithSuspend();
  clock unix_now = clock::Wall();
  event_log log{clock::WithSuspend()};
  node_metrics metrics{settings.name, unix_now.Now()};
  std::unique_ptr<platform::store_client> store;
  member_table members;
  /// Null until the first version was read.
  std::shared_ptr<const fleet::fleet_config> config;
  /// The configuration was the newest one at this time; -1: never.
  millis config_current_at = -1;
  /// Since when direct calls to the store but watches, which the store may cut,
  /// have failed; -1: the last one worked.
  millis store_lost_at = -1;
  bool stopping = false;

  /// True if this node has had no direct way to the store for some time, so
  /// that all its calls go through peers, if any.
  bool CutFromStore() const {
    return store_lost_at >= 0 && now.Now() - store_lost_at >= kCutOffMs;
  }

 private:
  // Longer than the store's slowest answers seen and one call's timeout.
  static constexpr millis kCutOffMs = 1200;
};

}  // namespace radishwing::node

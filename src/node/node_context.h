#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <limits>
#include <memory>
#include <set>
#include <string>

#include "platform/store_client.h"
#include "src/base/clock.h"
#include "src/fleet/fleet_config.h"
#include "src/fleet/node_settings.h"
#include "src/node/event_log.h"
#include "src/node/member_table.h"
#include "src/node/node_metrics.h"
#include "src/sched/link_load.h"

namespace radishwing::node {

/// State shared by the components of a node. Lives as long as the process and
/// may be used only on the thread that runs `io`.
struct node_context {
  node_context(boost::asio::io_context& io, fleet::node_settings settings)
      : io(io), settings(std::move(settings)) {}

  boost::asio::io_context& io;
  fleet::node_settings settings;
  /// Monotonic clock; used for leases and time limits.
  clock now = clock::BootTime();
  clock unix_now = clock::Wall();  ///< Clock that reads Unix time.
  event_log log{clock::BootTime()};
  node_metrics metrics{settings.name, unix_now.Now()};
  sched::link_load link{settings.link_bytes_per_s};
  std::unique_ptr<platform::store_client> store;
  member_table members;  ///< Registered nodes and the shard's leader.
  /// The newest configuration that this node has read; null before the first
  /// one was read.
  std::shared_ptr<const fleet::fleet_config> config;
  /// Names of the data centres that the operator evacuates: their runners get
  /// no new tasks.
  std::set<std::string> evacuated_data_centres;
  /// Latest time at which `config` was known to be the newest version; -1:
  /// there is no such time yet.
  millis config_current_at = -1;
  /// Time since which all of this node's own calls to the store have failed; -1
  /// if the last such call succeeded. Watch calls do not count because the
  /// store may abort them.
  millis store_unreachable_since = -1;
  bool stopping = false;  ///< The shutdown of this node has begun.

  /// Returns the load of the host's network link until now.
  const sched::link_load& MeasuredLink() {
    link.Record(now.Now(), metrics.Traffic().Totals());
    return link;
  }

  /// Returns the hooks of a client for other sides of the kind `other_side`,
  /// see traffic_counters::Hook.
  http::link_hooks LinkHooks(std::string_view other_side) {
    return {metrics.Traffic().Hook(other_side),
            [this] { return MeasuredLink().IsCongested(); }};
  }

  /// Returns the time since `config` was last known to be the newest version,
  /// or a very large value if it never was.
  millis ConfigAge() const {
    return config_current_at < 0 ? std::numeric_limits<millis>::max()
                                 : now.Now() - config_current_at;
  }

  /// Returns true if every version that `config` may lack is younger than the
  /// time within which all nodes have to use it. Otherwise a request must not
  /// be refused for a queue or a key that `config` does not have.
  bool IsConfigPropagated() const {
    return ConfigAge() <= settings.config_propagation_ms;
  }

  /// Returns true if all of this node's own calls to the store have failed for
  /// kStoreUnreachableMs. Calls then succeed only if a peer relays them.
  bool IsStoreUnreachable() const {
    return store_unreachable_since >= 0 &&
           now.Now() - store_unreachable_since >= kStoreUnreachableMs;
  }

 private:
  // Longer than the slowest observed response of the store and than the timeout
  // of one call.
  static constexpr millis kStoreUnreachableMs = 1200;
};

}  // namespace radishwing::node

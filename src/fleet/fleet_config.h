#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/resources.h"

namespace radishwing::fleet {

/// A queue of jobs, selected by the host name and path of a request.
struct queue_config {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string pool;
  int priority = 0;  ///< 0 is the highest.
  int attempts = 1;
  double stretch = 1.0;
  millis target_ms = 0;
  bool is_public = false;  ///< Accepts requests without a key.
  /// Validity of the advice service's tickets, which starts need; 0: no ticket
  /// is needed.
  millis ticket_valid_ms = 0;
};

/// A pool of runners.
struct pool_config {
  std::string name;
  /// Its runners refuse tasks that do not fit.
  bool enforces_capacity = false;
  bool standby = false;  ///< Its hosts are powered off and cost nothing.
};

/// A team with its API keys, fair-share weight and resource limit.
struct team_config {
  std::string name;
  std::vector<std::string> keys;
  double weight = 1.0;
  resources cap;  ///< Over all pools; 0 means no limit.
};

/// A version of the operator's configuration.
struct fleet_config {
  std::uint64_t version = 0;
  std::vector<queue_config> queues;
  std::vector<pool_config> pools;
  std::vector<team_config> teams;

  /// Returns the queue with the longest matching path prefix, or null.
  const queue_config* FindQueue(std::string_view host,
                                std::string_view path) const;
  const pool_config* FindPool(std::string_view name) const;
  const team_config* FindTeam(std::string_view name) const;
  /// Returns the team that owns `key`, or null.
  const team_config* FindTeamByKey(std::string_view key) const;
};

}  // namespace radishwing::fleet

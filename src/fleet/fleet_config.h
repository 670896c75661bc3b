#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/resources.h"

namespace radishwing::fleet {

/// A queue of jobs, chosen by the host name and the path of a request.
struct queue_config {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string pool;
  int priority = 0;  ///< 0 is served first.
  int attempts = 1;
  double stretch = 1.0;
  millis target_ms = 0;
  bool is_public = false;  ///< No key is needed.
  /// Starts need a ticket of the advice service, valid this long; 0: none.
  millis ticket_valid_ms = 0;
};

/// A group of runners.
struct pool_config {
  std::string name;
  bool guards_capacity = false;  ///< Its runners refuse what does not fit.
  bool standby = false;          ///< Its hosts are off and cost nothing.
};

/// A team with its keys, share and limit.
struct team_config {
  std::string name;
  std::vector<std::string> keys;
  double weight = 1.0;
  resources cap;  ///< Over all pools; 0 in a field means no limit.
};

/// One version of the operator's configuration.
struct fleet_config {
  std::uint64_t version = 0;
  std::vector<queue_config> queues;
  std::vector<pool_config> pools;
  std::vector<team_config> teams;

  /// The queue with the longest matching prefix, or null.
  const queue_config* FindQueue(std::string_view host,
                                std::string_view path) const;
  const pool_config* FindPool(std::string_view name) const;
  const team_config* FindTeam(std::string_view name) const;
  /// The team that holds `key`, or null.
  const team_config* FindTeamByKey(std::string_view key) const;
};

}  // namespace radishwing::fleet

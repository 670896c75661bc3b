#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/resources.h"

namespace radishwing::fleet {

/// Configuration of a job queue. The host name and the path of a request
/// determine its queue.
struct queue_config {
  std::string name;
  std::string host;         ///< Host name of the queue's requests.
  std::string path_prefix;  ///< Prefix of the requests' paths.
  std::string pool;         ///< Name of the pool on whose runners the jobs run.
  int priority = 0;         ///< Priority of the jobs; 0 is the highest.
  /// Number of failed runs of one task that fail the job.
  int max_attempts = 1;
  /// The objective of a job is the target for the time from the acceptance of
  /// the job to its end: `stretch` times the length of the job's critical path,
  /// plus `target_ms`.
  double stretch = 1.0;
  /// Part of a job's objective that does not depend on the critical path.
  millis target_ms = 0;
  bool is_public = false;  ///< Accepts requests without an API key.
  /// Validity period of the tickets that the advice service issues for the
  /// queue's jobs; 0 if their tasks start without a ticket.
  millis ticket_valid_ms = 0;
  /// Declared response time of the advice service to a query about the queue's
  /// jobs: a fixed part, and a part for each runner that the query names.
  millis advice_fixed_ms = 0;
  millis advice_per_runner_ms = 0;
};

/// Configuration of a pool of runners.
struct pool_config {
  std::string name;
  /// The pool's runners reject a task that exceeds their free capacity.
  bool enforces_capacity = false;
  bool standby = false;  ///< The pool's hosts are powered off and free of cost.
};

/// A team with its API keys, fair-share weight and resource limit.
struct team_config {
  std::string name;
  std::vector<std::string> keys;  ///< API keys of the team's clients.
  double weight = 1.0;            ///< Weight for fair sharing.
  /// Limit of the resources that the team's tasks use over all pools; an amount
  /// of 0 means no limit.
  resources resource_limit;
};

/// A version of the operator's configuration. The store distributes the
/// configuration to all nodes. In this module, the other *_config types are
/// parts of a fleet_config; node_settings holds the settings of a single
/// process.
struct fleet_config {
  std::uint64_t version = 0;  ///< Number of this version.
  std::vector<queue_config> queues;
  std::vector<pool_config> pools;
  std::vector<team_config> teams;

  /// Returns the queue with the given host name and the longest prefix of the
  /// request path, or null if no queue matches.
  const queue_config* FindQueue(std::string_view host,
                                std::string_view path) const;
  /// Returns the pool with the given name, or null.
  const pool_config* FindPool(std::string_view name) const;
  /// Returns the team with the given name, or null.
  const team_config* FindTeam(std::string_view name) const;
  /// Returns the team that owns the API key `key`, or null.
  const team_config* FindTeamByKey(std::string_view key) const;
};

}  // namespace radishwing::fleet

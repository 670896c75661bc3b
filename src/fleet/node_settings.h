#pragma once

#include <string>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::fleet {

/// Settings of a node process, from the file that the platform generates.
struct node_settings {
  std::string name;
  std::string ip;
  std::string data_centre;
  std::string frontend_address;   ///< Listens for callers.
  std::string readiness_address;  ///< Listens for readiness probes.
  int first_port = 0;             ///< Port range for messages between nodes.
  int last_port = 0;
  std::string store_address;
  std::string host_api_address;  ///< API for host moves and maintenance.
  std::string advice_address;
  std::string metrics_address;
  double cores = 1;  ///< Processor cores that the process may use.
  millis shutdown_grace_ms = 6000;  ///< From SIGTERM to SIGKILL.
  millis key_revocation_ms =
      5000;                    ///< Longest time that a revoked key is accepted.
  millis max_lease_ms = 6000;  ///< Longest lease that runners grant.
  millis max_stop_ms = 1000;   ///< Longest time that a stop takes.
  millis host_controller_lease_ms =
      3000;  ///< Pause between two host controllers.
  millis job_status_retention_ms =
      120000;  ///< Retention time of a finished job's state.
  millis disruption_window_ms = 4500;  ///< Time window of disruption budgets.
  millis max_over_target_ms =
      4000;  ///< Longest allowed time over a latency target.
  millis maintenance_ms = 2000;  ///< Downtime of a host in maintenance.
  millis move_ms = 1500;         ///< Downtime of a host during a move.
  millis heartbeat_ms = 1500;    ///< Heartbeat interval of the runners.
  double host_orders_per_s = 64;
};

}  // namespace radishwing::fleet

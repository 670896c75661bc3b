#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::fleet {

/// Settings of a single node process, read from a file that the platform
/// generates.
struct node_settings {
  std::string name;                ///< Name of the node.
  std::string ip;                  ///< IP address of the node.
  std::string data_centre;         ///< Name of the node's data centre.
  std::string client_api_address;  ///< Address that clients connect to.
  std::string readiness_address;   ///< Address for readiness probes.
  /// First and last port of the range for messages between nodes.
  int first_port = 0;
  int last_port = 0;
  std::string store_address;  ///< Address of the store.
  /// Length of the longest value that the store accepts, in bytes.
  std::size_t max_value_bytes = 1u << 20;
  /// Address of the platform's API for host moves and maintenance.
  std::string host_api_address;
  std::string advice_address;   ///< Address of the advice service.
  std::string metrics_address;  ///< Address that serves the node's metrics.
  double cores = 1;             ///< Processor cores that the process may use.
  /// Capacity of each direction of the host's network link; 0: not known.
  double link_bytes_per_s = 0;
  millis shutdown_grace_ms = 6000;  ///< Time from SIGTERM to SIGKILL.
  /// Maximum time for which a node may still accept a revoked API key.
  millis key_revocation_ms = 5000;
  /// Time within which all nodes use a new version of the configuration.
  millis config_propagation_ms = 2000;
  millis max_lease_ms = 6000;  ///< Longest lease that runners grant.
  millis max_stop_ms = 1000;   ///< Maximum time that stopping a run takes.
  /// Minimum time between the last order of one host controller and the first
  /// order of the next one.
  millis host_controller_pause_ms = 3000;
  /// Time for which the state of a finished job can be queried.
  millis job_status_retention_ms = 120000;
  millis disruption_window_ms = 4500;  ///< Time window of disruption budgets.
  /// Maximum time for which a task may exceed its latency target.
  millis max_over_target_ms = 4000;
  millis maintenance_ms = 2000;  ///< Downtime of a host in maintenance.
  millis move_ms = 1500;         ///< Downtime of a host during a move.
  /// Ratio of the run time of a task away from its data, or of a gang on
  /// several racks, to its run time at its place; at least 1. 1: no difference.
  double remote_factor = 1;
  millis heartbeat_ms = 1500;     ///< Heartbeat interval of the runners.
  double host_orders_per_s = 64;  ///< Maximum rate of orders to the host API.
};

}  // namespace radishwing::fleet

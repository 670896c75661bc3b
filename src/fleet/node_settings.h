#pragma once

#include <string>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::fleet {

/// Settings of one node process, from the file that the platform renders.
struct node_settings {
  std::string name;
  std::string ip;
  std::string data_centre;
  std::string front_address;      ///< Where callers connect.
  std::string readiness_address;  ///< Where the platform asks for readiness.
  int first_port = 0;             ///< Ports for messages between nodes.
  int last_port = 0;
  std::string store_address;
  std::string hosts_address;  ///< Host moves and maintenance.
  std::string advice_address;
  std::string metrics_address;
  double cores = 1;              ///< Processor share that the process may use.
  millis grace_ms = 6000;        ///< From SIGTERM to SIGKILL.
  millis revoke_ms = 5000;       ///< A withdrawn key may work this long.
  millis max_lease_ms = 6000;    ///< Longest lease that runners grant.
  millis stop_ms = 1000;         ///< Longest time a stop takes.
  millis duty_lease_ms = 3000;   ///< Pause between two host controllers.
  millis status_ms = 120000;     ///< A job's state is told this long.
  millis notice_ms = 4500;       ///< Window of the disruption budget.
  millis harm_ms = 4000;         ///< Longest time over a latency target.
  millis maintenance_ms = 2000;  ///< A host is down for maintenance.
  millis move_ms = 1500;         ///< A host is down for a move.
  millis heartbeat_ms = 1500;    ///< Of the runners.
  double host_orders_per_s = 64;
};

}  // namespace radishwing::fleet

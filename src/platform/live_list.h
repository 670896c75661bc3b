#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::platform {

/// A host on the live list. Hosts that are down are not listed.
struct live_host {
  std::string host;
  bool leaving = false;
};

/// A runner on the live list.
struct live_runner {
  std::string id;
  std::string service;
  std::string host;
  std::string address;  ///< "ip:port".
  std::uint16_t slots = 0;
  std::uint16_t connections = 0;
  bool leaving = false;
  std::uint32_t running = 0;  ///< Requests it runs, by its own count.
};

/// Hosts and runners as they were at `as_of_ms` on the platform's clock.
struct live_list {
  millis as_of_ms = 0;
  std::vector<live_host> hosts;
  std::vector<live_runner> runners;
};

}  // namespace radishwing::platform

#pragma once

#include <cstdint>
#include <string>

namespace radishwing::routing {

/// One runner (a backend server process) as the control process describes it.
struct runner_info {
  std::string id;
  std::string service;
  std::string host;
  std::string data_centre;
  std::string rack;
  std::string address;  ///< "ip:port".
  std::uint16_t slots = 8;
  std::uint16_t connections = 64;
  bool accepts_work = true;  ///< False while its host drains or it leaves.
  std::uint64_t host_epoch = 0;
};

}  // namespace radishwing::routing

#pragma once

#include <cstdint>
#include <string>

namespace radishwing::rpc {

/// How a process introduces itself to another one.
struct hello {
  std::string host;
  std::string data_centre;
  std::uint64_t incarnation = 0;  ///< Start time in ms since the Unix epoch.
  std::string address;  ///< "ip:port" of a control; empty for an entry.
};

}  // namespace radishwing::rpc

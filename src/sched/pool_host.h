#pragma once

#include <cstdint>
#include <string>

namespace radishwing::sched {

/// State of a host, as input to the pool planner.
struct pool_host {
  std::string name;
  std::string pool;        ///< Current pool, or the destination of a move.
  bool available = false;  ///< The planner may move the host now.
  bool arriving = false;   ///< The host is being moved into the pool.
  bool empty = false;      ///< No task runs on the host.
  std::int64_t cpu_millicores =
      0;  ///< Total processor capacity, in 1/1000 core.
};

}  // namespace radishwing::sched

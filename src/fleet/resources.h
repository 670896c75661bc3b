#pragma once

#include <cstdint>

namespace radishwing::fleet {

/// Resources that a runner offers or a task needs.
struct resources {
  std::int64_t cpu_millicores = 0;  ///< Processor capacity, in 1/1000 core.
  std::int64_t memory_mb = 0;       ///< Memory, in megabytes.
  std::int64_t accelerators = 0;    ///< Number of whole accelerator devices.

  resources& operator+=(const resources& other) {
    cpu_millicores += other.cpu_millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  resources& operator-=(const resources& other) {
    cpu_millicores -= other.cpu_millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
  friend resources operator+(resources a, const resources& b) { return a += b; }
  friend resources operator-(resources a, const resources& b) { return a -= b; }
  friend bool operator==(const resources&, const resources&) = default;

  /// Returns true if no amount exceeds that of `limit`.
  bool FitsIn(const resources& limit) const {
    return cpu_millicores <= limit.cpu_millicores &&
           memory_mb <= limit.memory_mb && accelerators <= limit.accelerators;
  }
};

}  // namespace radishwing::fleet

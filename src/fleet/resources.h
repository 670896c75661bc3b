#pragma once

#include <cstdint>

namespace radishwing::fleet {

/// An amount of what a runner offers or a task needs.
struct resources {
  std::int64_t cpu_millis = 0;    ///< Thousandths of a core.
  std::int64_t memory_mb = 0;     ///< Megabytes.
  std::int64_t accelerators = 0;  ///< Whole devices.

  resources& operator+=(const resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  resources& operator-=(const resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
  friend resources operator+(resources a, const resources& b) { return a += b; }
  friend resources operator-(resources a, const resources& b) { return a -= b; }
  friend bool operator==(const resources&, const resources&) = default;

  /// True if every amount is at most that of `room`.
  bool FitsIn(const resources& room) const {
    return cpu_millis <= room.cpu_millis && memory_mb <= room.memory_mb &&
           accelerators <= room.accelerators;
  }
};

}  // namespace radishwing::fleet

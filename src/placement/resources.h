#pragma once

#include <algorithm>
#include <cstdint>

namespace radishwing::placement {

/// Amounts of what work needs and hosts have.
struct resources {
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;

  bool Covers(const resources& need) const {
    return cores >= need.cores && memory_mb >= need.memory_mb &&
           accelerators >= need.accelerators;
  }

  /// The larger amount of each kind.
  static resources Larger(const resources& a, const resources& b) {
    return {std::max(a.cores, b.cores), std::max(a.memory_mb, b.memory_mb),
            std::max(a.accelerators, b.accelerators)};
  }

  bool operator==(const resources&) const = default;
};

}  // namespace radishwing::placement

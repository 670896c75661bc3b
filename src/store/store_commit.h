#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/store/store_item.h"

namespace radishwing::store {

/// An atomic set of changes with preconditions.
struct store_commit {
  struct precondition {
    std::string key;
    std::uint64_t revision = 0;  ///< 0: the key must not exist.
  };
  struct write {
    std::string key;
    std::string value;
    std::uint64_t lease = 0;
  };
  std::vector<precondition> preconditions;
  std::vector<write> writes;
  std::vector<std::string> removals;
};

/// Result of a commit.
struct commit_outcome {
  bool committed = false;
  std::uint64_t revision = 0;    ///< Of the commit.
  bool lease_not_found = false;  ///< A lease of a write no longer exists.
  /// If a precondition failed: the current items of all keys that have one.
  std::vector<store_item> current;
};

}  // namespace radishwing::store

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/store/store_item.h"

namespace radishwing::store {

/// A set of changes that the store applies atomically if all preconditions
/// hold.
struct store_commit {
  struct precondition {
    std::string key;
    std::uint64_t revision = 0;  ///< Expected; 0: the key must not exist.
  };
  struct write {
    std::string key;
    std::string value;
    std::uint64_t lease = 0;  ///< Lease whose end deletes the key; 0: none.
  };
  std::vector<precondition> preconditions;
  std::vector<write> writes;
  std::vector<std::string> removals;  ///< Keys to delete.
};

/// Result of a commit.
struct commit_outcome {
  bool committed = false;        ///< False: no change was applied.
  std::uint64_t revision = 0;    ///< Store revision created by the commit.
  bool lease_not_found = false;  ///< Rejected: a write names an ended lease.
  /// If a precondition failed: the current items of all keys with a
  /// precondition.
  std::vector<store_item> current;
};

}  // namespace radishwing::store

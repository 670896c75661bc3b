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
    /// Expected revision; 0: the key must not exist.
    std::uint64_t revision = 0;
  };
  struct write {
    std::string key;
    std::string value;
    /// Id of the lease whose end deletes the key; 0: none.
    std::uint64_t lease = 0;
  };
  std::vector<precondition> preconditions;
  std::vector<write> writes;
  std::vector<std::string> removals;  ///< Keys to delete.
};

/// Result of a commit.
struct commit_outcome {
  /// True if all changes were applied, false if none was.
  bool committed = false;
  std::uint64_t revision = 0;  ///< Store revision created, if `committed`.
  /// True if a write named a lease that has ended; not committed.
  bool lease_not_found = false;
  /// If a precondition failed: the current items of all keys with a
  /// precondition.
  std::vector<store_item> current;
};

}  // namespace radishwing::store

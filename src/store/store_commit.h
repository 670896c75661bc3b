#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/store/store_item.h"

namespace radishwing::store {

/// A change that happens as a whole or not at all.
struct store_commit {
  struct expectation {
    std::string key;
    std::uint64_t revision = 0;  ///< 0: the key must not exist.
  };
  struct write {
    std::string key;
    std::string value;
    std::uint64_t lease = 0;
  };
  std::vector<expectation> expected;
  std::vector<write> writes;
  std::vector<std::string> removals;
};

/// What a commit came to.
struct commit_outcome {
  bool committed = false;
  std::uint64_t revision = 0;  ///< Of the commit.
  bool lease_gone = false;     ///< A named lease has ended.
  /// The expected keys as they are, if an expectation was not met.
  std::vector<store_item> current;
};

}  // namespace radishwing::store

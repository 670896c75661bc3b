#pragma once

#include <cstdint>
#include <vector>

#include "src/store/store_item.h"

namespace radishwing::store {

/// Result of a watch: the changes, after a given revision, to the keys with a
/// given prefix.
struct store_changes {
  /// The changed items, oldest change first. Revision 0: the key was deleted.
  std::vector<store_item> items;
  std::uint64_t store_revision = 0;  ///< Revision after which to watch next.
  /// True if the store no longer has these changes: the keys must be listed
  /// again.
  bool history_discarded = false;
};

}  // namespace radishwing::store

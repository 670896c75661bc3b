#pragma once

#include <cstdint>
#include <vector>

#include "src/store/store_item.h"

namespace radishwing::store {

/// Result of a watch: the changes to keys with a prefix after a revision.
struct store_changes {
  std::vector<store_item> items;     ///< Oldest first; revision 0: deleted.
  std::uint64_t store_revision = 0;  ///< Start of the next watch.
  bool history_discarded = false;    ///< History discarded: list again.
};

}  // namespace radishwing::store

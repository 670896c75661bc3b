#pragma once

#include <cstdint>
#include <vector>

#include "src/store/store_item.h"

namespace radishwing::store {

/// Changes of the keys with a prefix after some revision.
struct store_changes {
  std::vector<store_item> written;   ///< In order; revision 0 means removed.
  std::uint64_t store_revision = 0;  ///< Where the next watch continues.
  bool history_gone = false;         ///< The keys must be read again.
};

}  // namespace radishwing::store

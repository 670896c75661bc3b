#pragma once

#include <cstdint>
#include <vector>

#include "src/store/store_item.h"

namespace radishwing::store {

/// One page of the items whose keys begin with a prefix.
struct store_page {
  std::vector<store_item> items;
  bool has_more = false;  ///< True if further pages follow.
  /// Store revision at which the page was read.
  std::uint64_t store_revision = 0;
};

}  // namespace radishwing::store

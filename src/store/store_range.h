#pragma once

#include <cstdint>
#include <vector>

#include "src/store/store_item.h"

namespace radishwing::store {

/// One page of the items whose keys begin with a prefix.
struct store_range {
  std::vector<store_item> items;
  bool has_more = false;
  std::uint64_t store_revision = 0;  ///< Of the store at the time of the read.
};

}  // namespace radishwing::store

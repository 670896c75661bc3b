#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace radishwing::platform {

/// One key of the store as of its last write. Version 0: it does not exist.
struct kv_item {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool deleted = false;  ///< Only in changes that a watch reports.
};

/// Keys under a prefix, or their changes, as of a store revision.
struct kv_page {
  std::uint64_t revision = 0;
  std::vector<kv_item> items;
};

}  // namespace radishwing::platform

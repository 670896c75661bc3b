#pragma once

#include <cstdint>
#include <string>

namespace radishwing::store {

/// A key of the metadata store and its value.
struct store_item {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  ///< Of the last change; 0: no such key.
  std::uint64_t lease = 0;     ///< Deleted with this lease; 0: none.
};

}  // namespace radishwing::store

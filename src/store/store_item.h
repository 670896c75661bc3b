#pragma once

#include <cstdint>
#include <string>

namespace radishwing::store {

/// A key of the metadata store and its value.
struct store_item {
  std::string key;
  std::string value;
  /// Store revision of the last change; 0 if the key does not exist.
  std::uint64_t revision = 0;
  /// Id of the lease whose end deletes the key; 0: none.
  std::uint64_t lease = 0;
};

}  // namespace radishwing::store

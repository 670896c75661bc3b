#pragma once

#include <cstdint>
#include <string>

namespace radishwing::store {

/// One key of the metadata store.
struct store_item {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  ///< Of its last change; 0: it does not exist.
  std::uint64_t lease = 0;     ///< 0: it outlives its writer.
};

}  // namespace radishwing::store

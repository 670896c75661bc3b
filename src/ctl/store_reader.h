#pragma once

#include <functional>
#include <string>
#include <vector>

#include "src/base/result.h"
#include "src/store/store_item.h"

namespace radishwing::ctl {

/// Functions that read the platform's store. Tests substitute their own.
struct store_reader {
  /// Returns the item with the key `key`, or an item with revision 0 if there
  /// is none.
  std::function<result<store::store_item>(const std::string& key)> get;
  /// Returns all items whose keys begin with `prefix`.
  std::function<result<std::vector<store::store_item>>(
      const std::string& prefix)>
      list;
};

/// Creates a reader of the store at `address` ("ip:port"). Each call blocks
/// until the response arrives. `list` sends one request per 500 items.
result<store_reader> MakeStoreReader(const std::string& address);

}  // namespace radishwing::ctl

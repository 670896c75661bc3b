#pragma once

#include <functional>
#include <string>
#include <vector>

#include "src/base/result.h"
#include "src/store/store_item.h"

namespace radishwing::ctl {

/// Reads the platform's store for one command. Tests replace the hooks.
struct store_reader {
  /// The item, with revision 0 if there is none.
  std::function<result<store::store_item>(const std::string& key)> get;
  /// All items whose keys begin with `prefix`.
  std::function<result<std::vector<store::store_item>>(
      const std::string& prefix)>
      list;
};

/// A reader of the store at "ip:port". Each call waits for its answer; a list
/// costs one read for each 500 items.
result<store_reader> MakeStoreReader(const std::string& address);

}  // namespace radishwing::ctl

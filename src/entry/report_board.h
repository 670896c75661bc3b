#pragma once

#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "src/rpc/entry_link.h"

namespace radishwing::entry {

/// Passes the newest report from the serve thread to the link thread. Usage
/// adds up until it is taken; everything else is replaced.
class report_board {
 public:
  /// `report.usage` holds what was used since the previous call.
  void Publish(rpc::entry_report report);

  /// The newest report; its usage counts from the previous Take.
  rpc::entry_report Take();

 private:
  std::mutex mutex_;
  rpc::entry_report newest_;
};

}  // namespace radishwing::entry

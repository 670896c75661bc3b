#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "src/http/link_hooks.h"
#include "src/sched/link_load.h"

namespace radishwing::node {

/// Counts the bytes that a node sends and receives, by the kind of the other
/// side. HTTP headers and bodies are counted, TCP and IP headers are not.
class traffic_counters {
 public:
  /// Registers the counters in `registry`, which has to outlive this object and
  /// all hooks.
  explicit traffic_counters(prometheus::Registry& registry);

  /// Returns a hook that counts the traffic with the other sides of the kind
  /// `other_side`, such as "store".
  http::traffic_hook Hook(std::string_view other_side);
  /// Returns the bytes of all kinds since this object was created.
  const sched::traffic_totals& Totals() const { return *totals_; }
  /// Returns the bytes since the last call as "store_sent=N store_received=N
  /// ...", without the kinds that had no traffic.
  std::string TakeSummary();

 private:
  struct counters {
    prometheus::Counter* sent = nullptr;
    prometheus::Counter* received = nullptr;
    double reported_sent = 0;  ///< Value of `sent` at the last summary.
    double reported_received = 0;
  };

  prometheus::Family<prometheus::Counter>& family_;
  std::shared_ptr<sched::traffic_totals> totals_ =
      std::make_shared<sched::traffic_totals>();
  std::map<std::string, counters, std::less<>> counters_;  ///< By other side.
};

}  // namespace radishwing::node

#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <string_view>

#include "src/base/clock.h"

namespace radishwing::node {

/// Metrics of one node, in the Prometheus text format.
class node_metrics {
 public:
  /// `node`: name of the node. `started`: Unix time at which the process
  /// started.
  node_metrics(std::string_view node, millis started);

  /// Counts a client request by its kind and its response status.
  void CountRequest(std::string_view call, unsigned status, millis took);
  void CountStoreCall(std::string_view call, std::string_view outcome,
                      millis took);
  void CountTaskStart(millis job_age);
  void CountTaskEnd(std::string_view how);
  void CountJobEnd(std::string_view state, millis age);
  /// Counts a submission to or a job of `queue` by its outcome, once for each.
  void CountOutcome(std::string_view queue, std::string_view team,
                    std::string_view outcome);
  void CountMove(std::string_view pool);
  void SetPoolHosts(std::string_view pool, std::string_view state, int hosts);
  void SetWaveHosts(std::string_view wave, std::string_view state, int hosts);
  void CountOrder(std::string_view kind, std::string_view outcome);
  void CountTakeover(millis took);
  void SetLeading(bool leading);
  void SetConfigVersion(std::uint64_t version);
  void SetConfigAge(millis age);
  void SetRunners(std::size_t reachable, std::size_t silent);
  void SetUnknownStarts(std::size_t count);

  std::string Serialize() const;

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& request_seconds_;
  prometheus::Family<prometheus::Counter>& store_calls_;
  prometheus::Histogram& store_seconds_;
  prometheus::Histogram& start_age_seconds_;
  prometheus::Family<prometheus::Counter>& task_ends_;
  prometheus::Family<prometheus::Counter>& job_ends_;
  prometheus::Histogram& job_seconds_;
  prometheus::Family<prometheus::Counter>& orders_;
  prometheus::Histogram& takeover_seconds_;
  prometheus::Family<prometheus::Counter>& outcomes_;
  prometheus::Family<prometheus::Counter>& moves_;
  prometheus::Family<prometheus::Gauge>& pool_hosts_;
  prometheus::Family<prometheus::Gauge>& wave_hosts_;
  prometheus::Gauge& leading_;
  prometheus::Gauge& config_version_;
  prometheus::Gauge& config_age_seconds_;
  prometheus::Family<prometheus::Gauge>& runners_;
  prometheus::Gauge& unknown_starts_;
};

}  // namespace radishwing::node

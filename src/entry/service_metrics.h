#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <cstdint>
#include <string>

#include "src/fairness/work_class.h"
#include "src/metrics/metric_registry.h"

namespace radishwing::entry {

/// How a request is counted. The first four are told to the control process.
enum class request_verdict {
  kGood,       ///< Complete within the objective's latency.
  kLate,       ///< Complete after it.
  kRefused,    ///< Not run, for lack of room or time.
  kUnknown,    ///< May have run.
  kTruncated,  ///< The connection was closed during the response.
  kCutOff,     ///< Refused since the data centre is cut off.
  kRejected,   ///< The caller's mistake.
};

/// Totals of one service and team since the entry started, with the series
/// that the metrics port shows. Written by the serve thread.
class service_metrics {
 public:
  service_metrics(std::string service, std::string team,
                  metrics::metric_registry* registry);

  void Count(request_verdict verdict, double seconds);
  /// `result` is "sent" or "budget_used_up".
  void CountRetry(const char* result);

  /// A request left the queue after `seconds`.
  void CountStart(fairness::work_class cls, double seconds);

  /// Body bytes passed on.
  void CountBytes(std::uint64_t request, std::uint64_t response);

  /// Sets the gauges of requests waiting and running now.
  void ShowPresent();

  const std::string service;
  const std::string team;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t late = 0;
  std::uint32_t waiting = 0;  ///< Requests in the queue now.
  std::uint32_t running = 0;  ///< Requests at a runner now.

 private:
  metrics::series Labels() const;
  prometheus::Counter& Verdict(request_verdict verdict);

  metrics::metric_registry* registry_;
  prometheus::Counter* verdicts_[7] = {};
  prometheus::Counter* request_bytes_ = nullptr;
  prometheus::Counter* response_bytes_ = nullptr;
  prometheus::Histogram* waits_[fairness::kWorkClasses] = {};
  prometheus::Histogram* seconds_ = nullptr;
  prometheus::Gauge* waiting_ = nullptr;
  prometheus::Gauge* running_ = nullptr;
};

}  // namespace radishwing::entry

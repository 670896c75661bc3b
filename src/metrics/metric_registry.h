#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <memory>
#include <string>
#include <string_view>

#include "src/metrics/metric_table.h"

namespace radishwing::metrics {

/// Values of the labels of one series. Only those that the metric's row names
/// are used.
struct series {
  std::string service;
  std::string team;  ///< Empty for none; exported as `-`.
  std::string pool;
  std::string wave;
  std::string value;  ///< Of the label with a fixed set of values.
};

/// Labels that every series of a process has.
struct process_labels {
  std::string program;
  std::string host;
  std::string data_centre;
};

/// The metrics of one process. Any thread. The references it returns stay
/// valid as long as the registry, so that a hot path looks them up once; the
/// objects behind them are thread-safe.
class metric_registry {
 public:
  explicit metric_registry(const process_labels& labels);
  ~metric_registry();
  metric_registry(const metric_registry&) = delete;
  metric_registry& operator=(const metric_registry&) = delete;

  /// The row of `id` must have the type asked for.
  prometheus::Counter& Counter(metric id, const series& labels = {});
  prometheus::Gauge& Gauge(metric id, const series& labels = {});
  prometheus::Histogram& Histogram(metric id, const series& labels = {});

  /// All metrics in the Prometheus text format 0.0.4.
  std::string Serialize() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace radishwing::metrics

#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace radishwing::entry {

/// A number with one writing thread that others may read.
class single_writer_counter {
 public:
  void Add(std::uint64_t by) {
    value_.store(value_.load(std::memory_order_relaxed) + by,
                 std::memory_order_relaxed);
  }
  std::uint64_t Get() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// Totals of one service and team since the entry started. Written by the
/// serve thread, read by the metrics thread.
struct service_metrics {
  /// Upper bounds of the latency buckets, in ms; the last bucket is unbounded.
  static constexpr std::array<millis, 14> kBounds = {
      1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 60000};

  std::string service;
  std::string team;
  single_writer_counter answered;
  single_writer_counter refused;  ///< Not run.
  single_writer_counter unknown;
  single_writer_counter late;  ///< Answered, but slower than the objective.
  single_writer_counter attempts;
  single_writer_counter retries;
  std::array<single_writer_counter, kBounds.size() + 1> latency;
  single_writer_counter latency_sum_ms;

  void ObserveLatency(millis ms) {
    std::size_t i = 0;
    while (i < kBounds.size() && ms > kBounds[i]) ++i;
    latency[i].Add(1);
    latency_sum_ms.Add(static_cast<std::uint64_t>(ms < 0 ? 0 : ms));
  }
};

}  // namespace radishwing::entry

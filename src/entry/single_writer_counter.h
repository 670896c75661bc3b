#pragma once

#include <atomic>
#include <cstdint>

namespace radishwing::entry {

/// A number with one writing thread that others may read.
class single_writer_counter {
 public:
  void Add(std::uint64_t by) {
    value_.store(value_.load(std::memory_order_relaxed) + by,
                 std::memory_order_relaxed);
  }
  void Set(std::uint64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  std::uint64_t Get() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

}  // namespace radishwing::entry

#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace radishwing {

/// A queue of fixed capacity between two threads. The producer never blocks:
/// a full ring makes TryPush return false and the caller applies its stated
/// policy. `wake` runs on the producer's thread after a push into an empty
/// ring and tells the consumer to drain.
template <typename T>
class bounded_ring {
 public:
  bounded_ring(std::size_t capacity, std::function<void()> wake)
      : slots_(capacity), wake_(std::move(wake)) {}

  /// Adds `item`, or returns false and leaves it unchanged if the ring is full.
  bool TryPush(T&& item) {
    bool was_empty = false;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (count_ == slots_.size()) return false;
      was_empty = count_ == 0;
      slots_[(head_ + count_) % slots_.size()].emplace(std::move(item));
      ++count_;
    }
    if (was_empty && wake_) wake_();
    return true;
  }

  /// Adds `item`; a full ring drops its oldest item to make room.
  void PushDropOldest(T&& item) {
    bool was_empty = false;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      was_empty = count_ == 0;
      if (count_ == slots_.size()) RemoveFirst();
      slots_[(head_ + count_) % slots_.size()].emplace(std::move(item));
      ++count_;
    }
    if (was_empty && wake_) wake_();
  }

  /// Takes the oldest item, or nothing if the ring is empty.
  std::optional<T> TryPop() {
    std::lock_guard<std::mutex> lock(mutex_);
    if (count_ == 0) return std::nullopt;
    std::optional<T> item = std::move(slots_[head_]);
    RemoveFirst();
    return item;
  }

  /// Number of items now in the ring.
  std::size_t Size() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return count_;
  }

 private:
  void RemoveFirst() {
    slots_[head_].reset();
    head_ = (head_ + 1) % slots_.size();
    --count_;
  }

  mutable std::mutex mutex_;
  std::vector<std::optional<T>> slots_;
  std::size_t head_ = 0;
  std::size_t count_ = 0;
  std::function<void()> wake_;
};

}  // namespace radishwing

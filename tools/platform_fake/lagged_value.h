#pragma once

#include <deque>
#include <optional>
#include <utility>

#include "src/base/clock.h"

namespace radishwing::platform_fake {

/// A value whose past can be read.
template <typename T>
class lagged_value {
 public:
  /// Sets the value at `now`. Times never decrease.
  void Set(millis now, T value) {
    if (!past_.empty() && past_.back().value == value) return;
    past_.push_back({now, std::move(value)});
    if (past_.size() > kMaxSamples) past_.pop_front();
  }

  /// The value as of `when`, or nothing if it did not exist. Forgets what is
  /// older, so `when` must not decrease.
  std::optional<T> At(millis when) {
    while (past_.size() > 1 && past_[1].since <= when) past_.pop_front();
    if (past_.empty() || past_.front().since > when) return std::nullopt;
    return past_.front().value;
  }

 private:
  struct sample {
    millis since;
    T value;
  };
  // Only reached if nobody reads the value.
  static constexpr std::size_t kMaxSamples = 1000;
  std::deque<sample> past_;
};

}  // namespace radishwing::platform_fake

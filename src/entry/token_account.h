#pragma once

#include <algorithm>
#include <cstdint>

#include "src/base/clock.h"

namespace radishwing::entry {

/// The tokens of one team that this entry holds. A running request holds one
/// until the runner can no longer be running it.
class token_account {
 public:
  /// Most tokens asked for at once.
  static constexpr std::uint32_t kBatch = 32;
  /// Pause after a request for tokens was answered with none.
  static constexpr millis kRetryMs = 20;

  bool HasFree() const { return free_ > 0; }
  std::uint32_t Free() const { return free_; }
  std::uint32_t InUse() const { return in_use_; }
  std::uint64_t Epoch() const { return epoch_; }

  /// True if the last answer was "none": the team is at its upper limit.
  bool AtLimit() const { return at_limit_ && free_ == 0; }

  void Use() {
    --free_;
    ++in_use_;
    least_free_ = std::min(least_free_, free_);
  }
  void Release() {
    --in_use_;
    ++free_;
  }

  /// Number of tokens to ask for now, with `waiting` requests queued. 0 while
  /// an answer is pending or shortly after an empty one.
  std::uint32_t Want(std::uint32_t waiting, millis now) const {
    if (pending_ || now < retry_at_ || waiting <= free_) return 0;
    return std::min(waiting - free_, kBatch);
  }
  void Asked() { pending_ = true; }
  void Granted(std::uint32_t count, std::uint64_t epoch, millis now) {
    pending_ = false;
    at_limit_ = count == 0;
    if (count == 0) retry_at_ = now + kRetryMs;
    if (count > 0) epoch_ = std::max(epoch_, epoch);
    free_ += count;
  }
  /// The control process could not be asked.
  void AskFailed(millis now) {
    pending_ = false;
    retry_at_ = now + kRetryMs;
  }

  /// Takes the tokens that stayed free since the previous call, to give them
  /// back. Call every second.
  std::uint32_t TakeIdle() {
    std::uint32_t idle = std::min(least_free_, free_);
    free_ -= idle;
    least_free_ = free_;
    return idle;
  }

 private:
  std::uint32_t free_ = 0;
  std::uint32_t in_use_ = 0;
  std::uint32_t least_free_ = 0;
  std::uint64_t epoch_ = 0;
  bool pending_ = false;
  bool at_limit_ = false;
  millis retry_at_ = 0;
};

}  // namespace radishwing::entry

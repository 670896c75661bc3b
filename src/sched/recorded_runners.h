#pragma once

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace radishwing::sched {

/// Tracks which runners the stored record, which the next leader reads,
/// certainly contains. Until a write is confirmed, the record may hold the last
/// confirmed set or any set sent after it, so only runners in all of these sets
/// are certain.
class recorded_runners {
 public:
  /// The record was read and holds `runners`.
  void RecordRead(std::set<std::string> runners) {
    certain_ = std::move(runners);
  }

  /// A write of `runners` was sent.
  void WriteSent(const std::set<std::string>& runners) {
    std::set<std::string> both;
    std::ranges::set_intersection(certain_, runners,
                                  std::inserter(both, both.end()));
    certain_ = std::move(both);
    sent_ = runners;
  }

  /// The most recent write is in the record, and no earlier write can overwrite
  /// it any more.
  void WriteConfirmed() { certain_ = sent_; }

  const std::set<std::string>& Certain() const { return certain_; }

 private:
  std::set<std::string> certain_;
  std::set<std::string> sent_;
};

}  // namespace radishwing::sched

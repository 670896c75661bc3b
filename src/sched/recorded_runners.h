#pragma once

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace radishwing::sched {

/// Tracks which runners are certainly in the runner set in the store. The next
/// leader reads this set to learn which runners to poll. Until the store
/// confirms a write, the stored set may be the last confirmed set or any set
/// that was sent later, so only runners in all of these sets are certain.
class recorded_runners {
 public:
  /// Notes that the stored set was read and contains the ids `runners`.
  void NoteRecordRead(std::set<std::string> runners) {
    certain_ = std::move(runners);
  }

  /// Notes that a write of the ids `runners` was sent to the store. Its outcome
  /// is not known yet.
  void NoteWriteSent(const std::set<std::string>& runners) {
    std::set<std::string> common;
    std::ranges::set_intersection(certain_, runners,
                                  std::inserter(common, common.end()));
    certain_ = std::move(common);
    sent_ = runners;
  }

  /// Notes that the store contains the most recently sent set. No earlier write
  /// can overwrite this set any more.
  void NoteWriteConfirmed() { certain_ = sent_; }

  /// Returns the ids of the runners that are certainly in the stored set.
  const std::set<std::string>& CertainRunners() const { return certain_; }

 private:
  /// Ids of the runners that are certainly in the stored set.
  std::set<std::string> certain_;
  /// Ids of the runners in the most recently sent write.
  std::set<std::string> sent_;
};

}  // namespace radishwing::sched

#pragma once

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace radishwing::sched {

/// Tracks which runners are certainly in the stored record from which the next
/// leader learns the runners to poll. Until the store confirms a write, the
/// record may hold the last confirmed set or any set sent after it, so only
/// runners in all of these sets are certain.
class recorded_runners {
 public:
  /// Notes that the record was read and contains `runners`.
  void NoteRecordRead(std::set<std::string> runners) {
    certain_ = std::move(runners);
  }

  /// Notes that a write of `runners` was sent, whose outcome is not known yet.
  void NoteWriteSent(const std::set<std::string>& runners) {
    std::set<std::string> common;
    std::ranges::set_intersection(certain_, runners,
                                  std::inserter(common, common.end()));
    certain_ = std::move(common);
    sent_ = runners;
  }

  /// Notes that the record contains the most recent write and that no earlier
  /// write can overwrite it any more.
  void NoteWriteConfirmed() { certain_ = sent_; }

  const std::set<std::string>& CertainRunners() const { return certain_; }

 private:
  std::set<std::string> certain_;
  std::set<std::string> sent_;  ///< Runners in the most recent write.
};

}  // namespace radishwing::sched

#pragma once

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace radishwing::sched {

/// The runners that are certainly in the record that a successor reads. While
/// a write is on its way, or its outcome is unknown, the record may hold the
/// old set or any set written since: only runners of all of them are certain.
class recorded_runners {
 public:
  /// The record was read: it holds `runners`.
  void Read(std::set<std::string> runners) { certain_ = std::move(runners); }

  /// A write of `runners` is sent.
  void WriteSent(const std::set<std::string>& runners) {
    std::set<std::string> both;
    std::ranges::set_intersection(certain_, runners,
                                  std::inserter(both, both.end()));
    certain_ = std::move(both);
    sent_ = runners;
  }

  /// The write that was sent last is in the record, and no earlier one can
  /// replace it any more.
  void WriteKept() { certain_ = sent_; }

  const std::set<std::string>& Certain() const { return certain_; }

 private:
  std::set<std::string> certain_;
  std::set<std::string> sent_;
};

}  // namespace radishwing::sched

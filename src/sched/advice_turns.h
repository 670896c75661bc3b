#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "src/sched/advice_request.h"

namespace radishwing::sched {

/// Determines which of the waiting queries to the advice service is sent next.
/// The service answers one at a time. Every second query is the most urgent
/// one, the others are those that have waited the longest, so that a step whose
/// queries fail or bring no usable ticket does not hold up all others.
class advice_turns {
 public:
  /// Records which queries wait, the most urgent one first.
  void Observe(std::span<const advice_request> waiting);

  /// Returns the index in `waiting` of the query to send. `waiting` was passed
  /// to Observe() and is not empty.
  std::size_t Next(std::span<const advice_request> waiting);

 private:
  /// By step, the position in the order in which its next query began to wait.
  std::map<std::string, std::uint64_t> positions_;
  std::uint64_t last_position_ = 0;
  bool most_urgent_next_ = true;
};

}  // namespace radishwing::sched

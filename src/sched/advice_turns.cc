#include "src/sched/advice_turns.h"

#include <algorithm>
#include <utility>

namespace radishwing::sched {

void advice_turns::Observe(std::span<const advice_request> waiting) {
  std::map<std::string, std::uint64_t> positions;
  for (const advice_request& request : waiting) {
    const auto known = positions_.find(request.step);
    positions[request.step] =
        known == positions_.end() ? ++last_position_ : known->second;
  }
  positions_ = std::move(positions);
}

std::size_t advice_turns::Next(std::span<const advice_request> waiting) {
  const auto position = [this](const advice_request& request) {
    return positions_.at(request.step);
  };
  const auto chosen = std::exchange(most_urgent_next_, !most_urgent_next_)
                          ? waiting.begin()
                          : std::ranges::min_element(waiting, {}, position);
  positions_[chosen->step] = ++last_position_;
  return static_cast<std::size_t>(chosen - waiting.begin());
}

}  // namespace radishwing::sched

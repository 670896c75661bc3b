#include "src/sched/room_forecast.h"

#include <algorithm>
#include <utility>

namespace radishwing::sched {

room_forecast::room_forecast(millis now, const fleet::resources& free,
                             std::vector<expected_end> ends)
    : booked_until_(now), free_(free), ends_(std::move(ends)) {
  std::ranges::sort(ends_, std::ranges::greater{}, &expected_end::at);
}

millis room_forecast::EarliestStart(const fleet::resources& needs) const {
  fleet::resources free = free_;
  millis start = booked_until_;
  for (auto end = ends_.rbegin(); !needs.FitsIn(free); ++end) {
    if (end == ends_.rend()) return kNever;
    free += end->needs;
    start = std::max(start, end->at);
  }
  return start;
}

millis room_forecast::Book(const fleet::resources& needs, millis duration) {
  const millis start = EarliestStart(needs);
  if (start == kNever) return kNever;
  while (!needs.FitsIn(free_)) {
    free_ += ends_.back().needs;
    ends_.pop_back();
  }
  booked_until_ = start;
  free_ -= needs;
  const expected_end end{start + duration, needs};
  ends_.insert(std::ranges::upper_bound(ends_, end.at, std::ranges::greater{},
                                        &expected_end::at),
               end);
  return start;
}

}  // namespace radishwing::sched

#include "src/sched/place_wait.h"

#include <algorithm>

namespace radishwing::sched {
namespace {

// Share of its expected run time by which a run often takes longer. A job whose
// slack is smaller has no margin to keep.
constexpr double kRunTimeMargin = 0.25;

}  // namespace

millis PlaceWaitDeadline(const place_wait_terms& terms) {
  const auto gain = static_cast<millis>(terms.away_ms - terms.near_ms);
  if (gain <= 0) return terms.since;
  const millis latest_start_elsewhere = terms.latest_start - gain;
  const millis deadline = terms.since + gain;
  if (terms.since <= latest_start_elsewhere) {
    const millis with_margin =
        latest_start_elsewhere -
        static_cast<millis>(kRunTimeMargin * terms.away_ms);
    return std::min(deadline, terms.since <= with_margin
                                  ? with_margin
                                  : latest_start_elsewhere);
  }
  if (terms.since <= terms.latest_start) {
    return std::min(deadline, terms.latest_start);
  }
  return deadline;
}

millis PassUpDeadline(const place_wait_terms& terms) {
  const auto gain = static_cast<millis>(terms.away_ms - terms.near_ms);
  const auto margin = static_cast<millis>(kRunTimeMargin * terms.near_ms);
  return std::min(terms.since + std::max<millis>(0, gain),
                  terms.latest_start - margin);
}

}  // namespace radishwing::sched

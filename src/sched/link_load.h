#pragma once

#include <cstdint>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Bytes that a node has sent and received since its start.
struct traffic_totals {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

/// Measures how much of a host's network link its node uses, from the totals of
/// the traffic. A leader of hundreds of runners fills a link of a few Mbit/s;
/// what must not wait behind the rest, such as the renewal of its lease, is
/// protected by sending the rest later.
class link_load {
 public:
  /// `bytes_per_s` is the capacity of each direction; 0: not known, the link
  /// counts as idle.
  explicit link_load(double bytes_per_s) : bytes_per_s_(bytes_per_s) {}

  /// Takes the totals at the time `now`.
  void Record(millis now, const traffic_totals& totals);

  /// Returns the used share of the busier direction over about a second.
  double Utilisation() const { return utilisation_; }
  /// Returns true if responses may be late only because of other traffic.
  bool IsCongested() const { return utilisation_ > kCongestedShare; }
  /// Returns the capacity in bytes per second; 0: not known.
  double BytesPerSecond() const { return bytes_per_s_; }
  /// Returns the shortest time between two listings of one runner. Fewer
  /// listings have more ends each.
  millis PollSpacing() const;
  /// Returns how long the ends of tasks may wait for others of the same job
  /// before they are stored. A later write has more of them.
  millis WriteDeferral() const;

 private:
  // Well below 1, because the totals do not include the headers and
  // acknowledgements of TCP and IP.
  static constexpr double kBusyShare = 0.4;
  static constexpr double kCongestedShare = 0.6;

  double bytes_per_s_;
  double utilisation_ = 0;
  millis recorded_at_ = -1;  ///< -1: nothing recorded yet.
  traffic_totals totals_;
};

}  // namespace radishwing::sched

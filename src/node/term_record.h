#pragma once

#include <string>
#include <string_view>

#include "src/base/clock.h"

namespace radishwing::node {

/// Stored record of the most recent term.
struct term_record {
  int term = 0;           ///< 0: no leader has been elected yet.
  std::string node;       ///< The leader of the term.
  bool resigned = false;  ///< It sent its last order before writing this.
  /// If it resigned: time since its last order to a host.
  millis host_order_age_ms = 0;
  millis began_unix_ms = 0;  ///< Time of the election by the leader's clock.

  /// True if `self` can rely on the leader of that term sending no more orders:
  /// it resigned, or it was an earlier run of the same node.
  bool HasStopped(std::string_view self) const {
    return resigned || node == self;
  }

  /// How long `self`, elected at `unix_now`, has to wait before it may move any
  /// host. `pause_ms`: the pause that the platform requires between orders of
  /// two different holders of one host. An earlier run of the same node counts
  /// as the same holder.
  millis MovePause(std::string_view self, millis unix_now,
                   millis pause_ms) const;

  /// How long the next leader has to wait before it takes a host down: until
  /// the hosts that this leader took down are up again or listed as down.
  millis WavePause(millis pause_ms) const { return term == 0 ? 0 : pause_ms; }
};

std::string EncodeTerm(const term_record& record);

/// Returns an empty record (term 0) if `text` cannot be decoded.
term_record DecodeTerm(std::string_view text);

}  // namespace radishwing::node

#pragma once

#include <string>
#include <string_view>

#include "src/base/clock.h"

namespace radishwing::node {

/// The shard's most recent term of leadership, as stored under TermKey().
struct term_record {
  int term = 0;      ///< Number of the term; 0: no leader has been elected yet.
  std::string node;  ///< Name of the node that led the term.
  /// True if the leader resigned, or if the next process of its node resigned
  /// for the leader. In both cases, the leader sent its last order before the
  /// resignation.
  bool resigned = false;
  /// If `resigned`: time in ms from the leader's last order to a host until its
  /// resignation; 0 if that time is not known.
  millis host_order_age_ms = 0;
  /// Wall-clock time when the leader last wrote this record: at its election,
  /// or when it resigned.
  millis recorded_unix_ms = 0;
  /// Time in ms from `recorded_unix_ms` until the leases that the leaders
  /// before this one hold on runners have expired. A short term may end before
  /// that.
  millis unended_lease_ms = 0;

  /// Returns true if the leader of this term is known to send no more orders:
  /// it resigned, or it was an earlier process of the node named `self`.
  bool HasStopped(std::string_view self) const {
    return resigned || node == self;
  }

  /// Returns what is left at `unix_now` of `unended_lease_ms`.
  millis RemainingLease(millis unix_now) const;

  /// Returns the time in ms after which the node named `self`, elected at
  /// `unix_now`, may move any host. `pause_ms` is the pause that the platform
  /// requires between orders of two lease holders to the same host. An earlier
  /// process of the same node counts as the same lease holder.
  millis MovePause(std::string_view self, millis unix_now,
                   millis pause_ms) const;

  /// Returns the time in ms that the next leader has to wait before it takes a
  /// host down. After that time, the hosts that this term's leader took down
  /// are up again or listed as down.
  millis WavePause(millis pause_ms) const { return term == 0 ? 0 : pause_ms; }
};

std::string EncodeTerm(const term_record& record);

/// Returns a record with term 0 if `text` cannot be decoded.
term_record DecodeTerm(std::string_view text);

}  // namespace radishwing::node

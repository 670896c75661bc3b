#pragma once

#include <string>
#include <string_view>

#include "src/base/clock.h"

namespace radishwing::node {

/// The shard's most recent term of leadership, as stored under TermKey().
struct term_record {
  int term = 0;      ///< Number of the term; 0: no leader has been elected yet.
  std::string node;  ///< Name of the node that led the term.
  /// True if the leader resigned; it sent its last order before it wrote this
  /// record.
  bool resigned = false;
  /// If `resigned`: time in ms from the leader's last order to a host until it
  /// wrote this record.
  millis host_order_age_ms = 0;
  /// Time of the leader's wall clock at its election, or at its resignation if
  /// it stored one.
  millis began_unix_ms = 0;

  /// Returns true if the leader of this term is known to send no more orders:
  /// it resigned, or it was an earlier run of the node named `self`.
  bool HasStopped(std::string_view self) const {
    return resigned || node == self;
  }

  /// Returns the time in ms that the node named `self`, elected at `unix_now`,
  /// has to wait before it may move every host. `pause_ms` is the pause that
  /// the platform requires between orders of two lease holders to the same
  /// host; an earlier run of the same node is the same lease holder.
  millis MovePause(std::string_view self, millis unix_now,
                   millis pause_ms) const;

  /// Returns the time in ms that the next leader has to wait before it takes a
  /// host down. After it, the hosts that this term's leader took down are up
  /// again or listed as down.
  millis WavePause(millis pause_ms) const { return term == 0 ? 0 : pause_ms; }
};

std::string EncodeTerm(const term_record& record);

/// Returns a record with term 0 if `text` cannot be decoded.
term_record DecodeTerm(std::string_view text);

}  // namespace radishwing::node

#pragma once

#include <string>
#include <string_view>

#include "src/base/clock.h"

namespace radishwing::node {

/// What the store keeps of the newest term of leadership.
struct term_record {
  int term = 0;           ///< 0: nobody has led yet.
  std::string node;       ///< Who led.
  bool resigned = false;  ///< It gave its last order before this was written.
  /// Then also: time since its last order to a host.
  millis host_order_age_ms = 0;
  millis began_unix_ms = 0;  ///< When it was elected, by its own clock.

  /// True if the leader of that term gives no orders any more, seen from
  /// `self`: it resigned, or it was an earlier run of the same node.
  bool Silent(std::string_view self) const { return resigned || node == self; }

  /// How long the next leader `self` waits at `unix_now` before it may move any
  /// host. `pause_ms`: the platform's pause between two holders of one host; an
  /// earlier run of the same node is no other holder.
  millis MovePause(std::string_view self, millis unix_now,
                   millis pause_ms) const;

  /// How long the next leader waits before it takes a host down: until those
  /// that this one took down are back or listed as down.
  millis WavePause(millis pause_ms) const { return term == 0 ? 0 : pause_ms; }
};

std::string EncodeTerm(const term_record& record);

/// An unreadable text is a term that nobody led.
term_record DecodeTerm(std::string_view text);

}  // namespace radishwing::node

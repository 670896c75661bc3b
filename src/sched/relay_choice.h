#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace radishwing::sched {

/// Chooses the nodes through which the calls of a node that does not reach the
/// store are relayed. The node that relayed the last call is tried first: the
/// others may be cut off from the store as well.
class relay_choice {
 public:
  /// `first` selects the peer that is tried first. It differs between nodes, so
  /// that they don't all settle on the same peer.
  explicit relay_choice(std::size_t first = 0) : next_(first) {}

  /// Returns at most `limit` of the `peers` (addresses) in the order in which
  /// to try them. Successive calls go through the peers in turn, except for the
  /// one that relayed the last call.
  std::vector<std::string> Choose(std::span<const std::string> peers,
                                  std::size_t limit);
  /// Notes that `peer` relayed a call.
  void NoteRelayed(const std::string& peer) { last_relay_ = peer; }
  /// Notes that `peer` could not relay a call.
  void NoteFailed(const std::string& peer) {
    if (last_relay_ == peer) last_relay_.clear();
  }

 private:
  std::string last_relay_;  ///< Relayed the last call; empty if none did.
  std::size_t next_;        ///< Counts the peers that were chosen in turn.
};

}  // namespace radishwing::sched

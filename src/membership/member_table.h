#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "src/membership/heartbeat_beat.h"
#include "src/membership/member_change.h"
#include "src/membership/member_timing.h"

namespace radishwing::membership {

/// The members of the fleet as one control sees them. Decides suspicion only
/// by its own clock and the news that reaches it, directly or through others;
/// suspicion of others is not adopted, so that one control with a broken
/// network card cannot make the rest believe that a member failed.
class member_table {
 public:
  member_table(member self, member_timing timing, millis now);

  /// Call every `heartbeat_ms`: sends the own heartbeat on, and turns silent
  /// members into suspect and failed ones.
  std::vector<member_change> Tick(millis now);

  /// Takes the rows of another control's digest.
  std::vector<member_change> Merge(std::span<const member> rows, millis now);

  /// Takes the beats of another control's digest. Beats of unknown
  /// incarnations have no effect: their rows follow.
  std::vector<member_change> MergeBeats(std::span<const heartbeat_beat> beats,
                                        millis now);

  /// Counts an answer to a heartbeat as a sign of life, so that two clocks that
  /// drift never make an answer repeat the last counter.
  void Beat() { ++self_.heartbeat; }

  /// Sets what is in force here, for the next digests.
  void SetInForce(std::uint64_t settings_revision, std::uint64_t host_epochs);

  /// Says in the next digests that this control leaves.
  void Leave();

  /// Rows for a digest: this control and the members whose state or versions
  /// changed since the last digest to `to`. Every 8th digest repeats the own
  /// row and some of the others in turn, in case a digest was lost.
  std::vector<member> Digest(std::string_view to);

  /// Beats for the same digest, after the rows: this control and some of the
  /// others in turn, so that the size of a digest does not grow with the fleet.
  std::vector<heartbeat_beat> Beats(std::string_view to);

  /// The last digest to `to` may be lost: the next one has all rows again.
  void ForgetTold(std::string_view to);

  /// All rows, for a member that has just joined.
  std::vector<member> All() const;

  /// The members to send heartbeats to. Up to `full_mesh_max` members, all
  /// that did not leave; above that, those at distances 1, 2, 4 and so on by
  /// rank of the host name, and one failed member in turn.
  std::vector<member> HeartbeatPeers();

  /// The row of a host; null if unknown.
  const member* Find(std::string_view host) const;
  const member& Self() const { return self_; }

  /// Time since the last news of `host`, in ms; 0 for this control.
  millis SilentMs(std::string_view host, millis now) const;

 private:
  struct entry {
    member row;
    millis news_ms = 0;
    /// What the digest to a member said of this row last.
    std::map<std::string, member, std::less<>> told;
  };

  std::vector<entry*> InTurn(std::string_view to, std::size_t most);
  void MergeSelf(const member& row);
  void MergeOther(const member& row, millis now,
                  std::vector<member_change>& changes);

  member self_;
  member_timing timing_;
  millis last_tick_ms_;
  std::map<std::string, entry, std::less<>> others_;
  std::map<std::string, member, std::less<>> told_self_;
  std::map<std::string, std::uint64_t, std::less<>> digests_;  // By receiver.
  std::string next_row_;  // Host from which the next digest continues.
  std::size_t next_failed_ = 0;
};

}  // namespace radishwing::membership

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/base/clock.h"
#include "src/requests/claim.h"
#include "src/requests/claim_copies.h"
#include "src/requests/claim_step.h"
#include "src/requests/roster_record.h"

namespace radishwing::requests {

struct claim_table_options {
  millis retention_ms = 600'000;  ///< How long a finished claim is remembered.
  /// Longest run of any request. A claim of which the end is unknown is kept
  /// for this time and the retention time.
  millis longest_run_ms = 60'000;
  /// Claims kept at most. A full table refuses new claims as unavailable and
  /// never drops one that has not expired. Hand-overs may fill it to the
  /// double, because refusing them would stop roster changes.
  std::size_t capacity = 200'000;
};

/// The request claims of which one control holds a copy. Not thread-safe.
///
/// An `owner` may claim an identifier once: a claim that was finished as not
/// run is reopened only for another owner. An entry that makes the owner unique
/// for each claim ("<host>#<incarnation>/<n>") therefore lets callers repeat
/// requests that were not run.
class claim_table {
 public:
  claim_table(std::string self, claim_table_options options);

  // --- Roster ---

  /// Takes over a newer version of the roster; an older epoch is ignored.
  void ObserveRoster(const roster_record& record, millis now);

  std::uint64_t RosterEpoch() const { return roster_.epoch; }
  const roster_record& Roster() const { return roster_; }

  /// The members that still need claims from here under the current roster.
  std::vector<std::string> HandOverTargets() const;

  /// The claims that `target` needs. Empty if none.
  std::vector<handed_claim> HandOverTo(std::string_view target) const;

  /// `target` has accepted what HandOverTo returned in `epoch`.
  void HandOverAccepted(std::string_view target, std::uint64_t epoch);

  /// True if this member can write AcknowledgeHandOver.
  bool ReadyToAcknowledge() const;

  /// Stores claims from another member. False if this table has not seen the
  /// roster of `epoch` yet or has no room.
  bool AcceptHandOver(std::uint64_t epoch, std::span<const handed_claim> claims,
                      millis now);

  /// A former roster that ForgetFormer may drop now.
  std::optional<std::uint64_t> ForgettableFormer(millis now) const;

  // --- As primary ---

  /// The member to which claims of `request_id` go; empty without a roster.
  std::string PrimaryOf(std::string_view request_id) const;

  /// Begins a claim sent under the roster of `roster_epoch`, which may be older
  /// than the one known here but not newer. Either replies, or names the second
  /// copy; then call EndClaim with its reply.
  claim_step BeginClaim(const claim& claim, std::uint64_t roster_epoch,
                        millis now);

  /// The reply of the second copy, or nothing if it was lost. Returns the reply
  /// for the entry.
  claim_answer EndClaim(const claim& claim,
                        const std::optional<claim_answer>& second, millis now);

  // --- As second ---

  /// Records a claim for a primary in `roster_epoch`. kFresh if it was
  /// recorded, kUnavailable if it was not, otherwise the record held here.
  claim_answer Replicate(const claim& claim, std::uint64_t roster_epoch,
                         millis now);

  // --- As either ---

  /// Records how the claim of `owner` ended. A claim that is unknown here, or
  /// of another owner, is left alone.
  void Finish(std::string_view request_id, std::string_view owner,
              outcome outcome, std::uint16_t status, millis now);

  /// Drops expired claims, at most `budget` of them.
  void Expire(millis now, std::size_t budget = 1000);

  std::size_t Size() const { return entries_.size(); }

 private:
  struct entry {
    requests::claim claim;
    claim_answer answer;
    /// False while the second copy has not confirmed the claim.
    bool confirmed = false;
    millis expires_at = 0;
  };
  struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const;
  };
  using entry_map =
      std::unordered_map<std::string, entry, string_hash, std::equal_to<>>;

  bool PossiblyLost(std::string_view request_id) const;
  claim_answer AnswerFrom(const entry& held, const claim& claim) const;
  bool Reopens(const entry& held, const claim& claim) const;
  bool HasRoom(millis now);
  void Store(const requests::claim& claim, claim_answer answer, bool confirmed,
             millis now);
  void SetExpiry(entry& entry, millis now);
  void Merge(const handed_claim& handed, millis now);
  bool NeedsCopy(std::string_view request_id, std::string_view target) const;
  void PlanHandOver();
  void DropForeign();

  std::string self_;
  claim_table_options options_;
  roster_record roster_;
  entry_map entries_;
  /// What a tentative claim replaced, to restore it if the second refuses.
  std::map<std::string, entry, std::less<>> replaced_;
  /// Identifiers by the time at which they may expire; entries that were
  /// extended since are skipped.
  std::multimap<millis, std::string> expiry_;
  /// Per member, the identifiers it still needs from here.
  std::map<std::string, std::vector<std::string>, std::less<>> hand_over_;
  std::map<std::uint64_t, millis> former_seen_;
};

}  // namespace radishwing::requests

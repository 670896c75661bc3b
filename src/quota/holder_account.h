#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "src/base/clock.h"
#include "src/quota/token_balance.h"
#include "src/quota/token_record.h"

namespace radishwing::quota {

/// The tokens of one team that one control holds: free ones and those lent to
/// entries. Starts in no epoch and with nothing; tokens appear only by
/// observing the store record or by borrowing. Not thread-safe.
class holder_account {
 public:
  /// `holder` is "<host>#<incarnation>" of this control.
  explicit holder_account(std::string holder);

  // --- The store record ---

  /// Takes over a version of the record, as read or as written by this holder.
  /// Older versions than the newest observed one are ignored. In the account's
  /// epoch, credits what this holder took; in a newer epoch, adopts the grant.
  /// Call it with the record that a successful write made, and with what was
  /// read back after a lost answer: both credit a write at most once.
  void Observe(const token_record& record, std::uint64_t store_version);

  /// Debits up to `count` free tokens that are to be given back to the record.
  /// Returns the number debited; write GiveBackTokens with it. Returns 0 while
  /// frozen.
  std::uint32_t BeginGiveBack(std::uint32_t count);

  /// Credits the tokens of a give-back that is known not to have taken effect.
  /// Not to be called after a lost answer.
  void CancelGiveBack(std::uint32_t count);

  /// Free tokens above this holder's part of a lowered limit, to give back.
  std::uint32_t Excess() const;

  // --- Peers ---

  /// Debits tokens for a loan: at most half of the free ones, rounded up.
  /// Returns 0 in another epoch, while frozen, or if the record seen last does
  /// not list `borrower`.
  std::uint32_t Lend(std::uint64_t epoch, std::uint32_t want,
                     std::string_view borrower);

  /// Opens a request for a loan. The number identifies its reply.
  std::uint64_t BeginBorrow();

  /// Credits the reply to loan request `loan`. Returns the number credited: 0
  /// if the reply is a duplicate, of another epoch, or came while frozen.
  std::uint32_t FinishBorrow(std::uint64_t loan, std::uint64_t epoch,
                             std::uint32_t count);

  /// Replies to a recovery from `epoch`, and freezes if settled.
  token_balance Freeze(std::uint64_t epoch);

  // --- Entries, named "<host>#<incarnation>" ---

  /// Lends up to `want` tokens to an entry, bounded by the batch size.
  std::uint32_t Acquire(std::string_view entry, std::uint32_t want);

  /// Takes tokens back from an entry, at most as many as it holds.
  void Return(std::string_view entry, std::uint32_t count);

  /// The session of `entry` broke. Its tokens count as in use for `in_use_ms`,
  /// unless the entry states its tokens before: how long an entry starts work
  /// on tokens without a session, plus the longest run time of the team's
  /// services.
  void BreakSession(std::string_view entry, millis now, millis in_use_ms);

  /// `entry` opened a session and states what it holds. Tokens of a broken
  /// session that it does not state become free. Tokens that this account did
  /// not lend (a previous control on this host did) count as in use without
  /// being backed until the record grants them.
  void Restate(std::string_view entry, std::uint32_t held);

  /// Frees the tokens of sessions whose quarantine ended.
  void Expire(millis now);

  // --- State ---

  std::uint64_t Epoch() const { return epoch_; }
  std::uint32_t Free() const { return free_; }
  std::uint32_t InUse() const { return in_use_; }
  /// Tokens in use that the record has not granted to this holder.
  std::uint32_t Unbacked() const { return unbacked_; }
  bool Frozen() const { return frozen_; }
  bool Listed() const { return listed_; }
  const std::string& Holder() const { return holder_; }

 private:
  struct entry_loan {
    std::uint32_t count = 0;
    bool broken = false;
    millis free_at = 0;
  };

  void Credit(std::uint32_t count);
  void Release(entry_loan& loan, std::uint32_t count);
  void Adopt(const token_record& record, std::int64_t grant);

  std::string holder_;
  std::uint64_t epoch_ = 0;
  std::uint64_t store_version_ = 0;
  std::int64_t granted_ = 0;  ///< Own grant in the record observed last.
  bool listed_ = false;
  bool frozen_ = false;
  std::uint32_t free_ = 0;
  std::uint32_t in_use_ = 0;
  std::uint32_t unbacked_ = 0;  ///< At most in_use_; 0 while free_ > 0.
  token_record record_;         ///< As observed last.
  std::uint64_t next_loan_ = 1;
  std::set<std::uint64_t> open_loans_;
  std::map<std::string, entry_loan, std::less<>> entries_;
};

}  // namespace radishwing::quota

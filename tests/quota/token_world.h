#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/quota/holder_account.h"
#include "src/quota/token_recovery.h"
#include "src/quota/token_transitions.h"
#include "tests/support/interleaving.h"

namespace radishwing::test {

/// Controls and entries of one team on four hosts, a store whose answers get
/// lost or delayed, and loans that get lost, duplicated or late. `choices`
/// decides what happens next.
class token_world {
 public:
  explicit token_world(choices& choices);

  /// Lets one thing happen. Returns the broken invariant, or an empty text.
  std::string Step();

 private:
  struct host {
    std::optional<quota::holder_account> account;
    std::string holder;
    int incarnation = 0;
    std::string entry;
    int entry_incarnation = 0;
    bool session = false;
    millis session_broken_at = 0;
    std::uint32_t held = 0;  ///< Tokens that the entry may use.
    std::vector<std::string> dead;
  };
  struct stored {
    std::string text;
    std::uint64_t version = 0;
  };
  struct delayed_write {
    std::uint64_t expected = 0;
    std::string text;
  };
  struct loan_reply {
    std::string borrower;
    std::uint64_t loan = 0;
    std::uint64_t epoch = 0;
    std::uint32_t count = 0;
  };
  struct remaining_work {
    std::uint32_t count = 0;
    millis ends_at = 0;
  };
  struct recovery {
    quota::token_recovery attempt;
    std::uint64_t base_version = 0;
  };
  enum class write_end { kDone, kRefused, kLost };

  quota::token_record Read() const;
  void Observe(host& host, bool stale);
  write_end Write(const quota::token_record& next, std::uint64_t expected);
  void Join(host& host);
  void TakeOrGiveBack(host& host);
  void Borrow(host& host);
  void DeliverLoan();
  void LearnRefusal();
  void UseTokens(host& host);
  void BreakSession(host& host);
  void Reconnect(host& host);
  void CrashControl(host& host);
  void CrashEntry(host& host);
  void Leave(host& host);
  void Recover();
  void PassTime();
  void LandDelayedWrite();
  void ChangeLimit();
  void StepWithoutStore(host& host);
  std::string Check();

  choices& choices_;
  std::array<host, 4> hosts_;
  std::vector<stored> history_;
  std::vector<delayed_write> delayed_;
  std::vector<loan_reply> loans_;
  std::vector<loan_reply> refused_;  ///< Give-backs known not to be written.
  std::vector<remaining_work> remaining_;
  std::vector<recovery> recoveries_;
  std::map<std::string, millis> listed_since_;
  std::int64_t allowed_ = 12;
  millis now_ = 0;
};

}  // namespace radishwing::test

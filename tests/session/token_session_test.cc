#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>
#include <sstream>

#include "src/base/clock.h"
#include "src/quota/holder_account.h"
#include "src/quota/token_recovery.h"
#include "src/quota/token_transitions.h"
#include "tests/session/golden.h"

namespace radishwing::test {
namespace {

using namespace quota;

constexpr millis kInUseMs = 60'000;

/// Two controls of one team, a store record, and a transcript.
struct token_session {
  manual_clock time;
  token_record record = NewTokenRecord(10, "create");
  std::uint64_t version = 1;
  holder_account a{"entry-a#1"};
  holder_account b{"entry-b#1"};
  std::ostringstream out;

  void Show(std::string_view what) {
    out << time.Now() << " ms: " << what << '\n';
    out << "  store " << FormatTokenRecord(record) << '\n';
    for (const holder_account* account : {&a, &b}) {
      out << "  " << account->Holder() << " epoch=" << account->Epoch()
          << " free=" << account->Free() << " in_use=" << account->InUse()
          << (account->Frozen() ? " frozen" : "") << '\n';
    }
  }

  void Store(std::string_view what, const result<token_record>& next) {
    if (Ok(next)) {
      record = Value(next);
      ++version;
      a.Observe(record, version);
      b.Observe(record, version);
      Show(what);
    } else {
      Show(std::string(what) + ": " + Error(next).message);
    }
  }
};

// Guards against a change of the steps by which tokens get lost and come back,
// which operators read in the store record.
BOOST_FIXTURE_TEST_CASE(token_session_lost_loan_returns_with_next_epoch,
                        token_session) {
  Store("entry-a joins and takes all", JoinHolder(record, a.Holder(), 10, "1"));
  Store("entry-b joins", JoinHolder(record, b.Holder(), 10, "2"));
  a.Acquire("entry-a#1", 4);
  Show("the entry beside entry-a acquires");
  const std::uint64_t first = b.BeginBorrow();
  const std::uint32_t lent = a.Lend(1, 8, b.Holder());
  b.FinishBorrow(first, 1, lent);
  b.FinishBorrow(first, 1, lent);
  Show("entry-b borrows; the reply comes twice");
  b.BeginBorrow();
  a.Lend(1, 1, b.Holder());
  Show("a second loan is lost");
  a.BreakSession("entry-a#1", time.Now(), kInUseMs);
  time.Advance(kInUseMs);
  a.Expire(time.Now());
  Show("the session of the entry broke and its tokens are free again");
  token_recovery recovery(record);
  recovery.Reply(a.Holder(), a.Freeze(1));
  const auto early = recovery.Next("3");
  Show("recovery: " + Error(early).message);
  recovery.Reply(b.Holder(), b.Freeze(1));
  Store("recovery to epoch 2", recovery.Next("4"));
  Store("the limit is lowered", SetLimit(record, 6, "5"));
  const std::uint32_t excess = a.BeginGiveBack(a.Excess());
  Store("entry-a gives its excess back",
        GiveBackTokens(record, a.Holder(), 2, excess, "6"));
  Store("entry-b asks in an old epoch",
        TakeTokens(record, b.Holder(), 1, 1, "7"));
  BOOST_TEST(CompareGolden("token_session", out.str()) == "");
}

}  // namespace
}  // namespace radishwing::test

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "src/quota/token_record.h"
#include "tests/control/test_entry.h"
#include "tests/control/test_fleet.h"

namespace radishwing::control {
namespace {

constexpr auto Eventually = test_fleet::Eventually;
constexpr std::uint32_t kLimit = 12;  // Of team uva in the test settings.

struct token_fixture : test_fleet {
  std::map<std::string, std::unique_ptr<test_entry>> entries;

  void StartWithEntry(const std::string& name, const std::string& centre) {
    Start(name, centre);
    if (store.Read("settings").empty()) Publish(1);
    StartEntry(name, centre);
  }

  void StartEntry(const std::string& name, const std::string& centre) {
    entries[name] =
        std::make_unique<test_entry>(name, centre, network.Add(name));
    BOOST_REQUIRE(Eventually([&] {
      return entries[name]->connected && entries[name]->revision == 1;
    }));
  }

  // Acquires until the entry holds `want` tokens of team uva, or nothing more
  // came for 3 requests.
  std::uint32_t AcquireAll(const std::string& name, std::uint32_t want) {
    std::uint32_t held = 0;
    for (int empty = 0; held < want && empty < 3;) {
      std::uint32_t got = entries[name]->Acquire("uva", want - held);
      held += got;
      empty = got == 0 ? empty + 1 : 0;
    }
    return held;
  }

  std::uint64_t Epoch() {
    auto record = quota::ParseTokenRecord(store.Read("tokens/uva"));
    return Ok(record) ? Value(record).epoch : 0;
  }
};

// Guards against tokens that cannot reach the control that needs them, and
// against more of them than the limit.
BOOST_FIXTURE_TEST_CASE(token_service_all_tokens_reach_one_entry_never_more,
                        token_fixture) {
  StartWithEntry("host-one", "ams");
  StartWithEntry("host-two", "rtm");
  BOOST_REQUIRE(
      Eventually([&] { return Sees("host-one", "host-two") == "alive"; }));
  std::uint32_t first = AcquireAll("host-two", 2);
  entries["host-two"]->link->ReturnTokens({"uva", first, 0});
  std::uint32_t held = 0;
  BOOST_TEST(Eventually([&] {
    held += AcquireAll("host-one", kLimit - held);
    return held >= kLimit - 1;
  }));
  // Half of the lender's free tokens, rounded up, moves with each loan.
  held += AcquireAll("host-two", kLimit);
  held += AcquireAll("host-one", kLimit);
  BOOST_TEST(held == kLimit);
}

// Guards against losing the tokens of a killed control for good, and against
// handing them out while its entry still uses them.
BOOST_FIXTURE_TEST_CASE(token_service_killed_control_tokens_are_recovered,
                        token_fixture) {
  StartWithEntry("host-one", "ams");
  StartWithEntry("host-two", "rtm");
  BOOST_REQUIRE(
      Eventually([&] { return Sees("host-one", "host-two") == "alive"; }));
  std::uint32_t lost = AcquireAll("host-two", 5);
  BOOST_REQUIRE(lost > 0);
  Kill("host-two");
  std::uint32_t held = AcquireAll("host-one", kLimit);
  BOOST_TEST(held <= kLimit - lost);
  BOOST_TEST(Eventually([&] { return Epoch() > 1; }));
  BOOST_TEST(Eventually([&] {
    held += AcquireAll("host-one", kLimit - held);
    return held == kLimit;
  }));
}

// Guards against a control that forgets, when it restarts, what its entry
// holds.
BOOST_FIXTURE_TEST_CASE(token_service_restarted_control_counts_entry_tokens,
                        token_fixture) {
  StartWithEntry("host-one", "ams");
  StartWithEntry("host-two", "rtm");
  std::uint32_t held = AcquireAll("host-two", 5);
  BOOST_REQUIRE(held == 5U);
  Kill("host-two");
  Start("host-two", "rtm");
  BOOST_TEST(Eventually([&] {
    std::uint32_t in_use = 0;
    Get("host-two").Inspect([&](control_core& core) {
      team_state* state = core.Tokens().Find("uva");
      if (state != nullptr) in_use = state->account.InUse();
    });
    return in_use == held;
  }));
  // The tokens of the dead process come back, those of the entry do not.
  BOOST_TEST(Eventually([&] { return Epoch() > 1; }));
  std::uint32_t other = 0;
  for (int i = 0; i < 10; ++i) other += AcquireAll("host-one", kLimit);
  BOOST_TEST(other + held <= kLimit);
  BOOST_TEST(other > 0U);
}

// Guards against counting a write twice, or never, when the store's answer to
// it is lost.
BOOST_FIXTURE_TEST_CASE(token_service_lost_store_answers_grant_within_limit,
                        token_fixture) {
  StartWithEntry("host-one", "ams");
  StartWithEntry("host-two", "rtm");
  store.SetFaultForAll(fake_store::fault::kLoseAnswers);
  std::uint32_t held = 0;
  BOOST_TEST(Eventually([&] {
    held += AcquireAll("host-one", kLimit - held);
    return held > 0;
  }));
  held += AcquireAll("host-two", kLimit);
  held += AcquireAll("host-one", kLimit);
  BOOST_TEST(held <= kLimit);
}

// Guards against an entry whose session broke getting its tokens twice.
BOOST_FIXTURE_TEST_CASE(token_service_broken_session_keeps_tokens_in_use,
                        token_fixture) {
  // The quarantine of the settings, not the short one of the other tests.
  adjust = [](control_options& options) { options.timing.gone_bound_ms = 0; };
  StartWithEntry("host-one", "ams");
  std::uint32_t held = AcquireAll("host-one", 4);
  BOOST_REQUIRE(held == 4U);
  entries["host-one"].reset();
  entries["host-one"] = std::make_unique<test_entry>(
      "host-one", "ams", network.Add("host-one"), 6000);
  BOOST_REQUIRE(
      Eventually([&] { return entries["host-one"]->connected.load(); }));
  std::uint32_t second = AcquireAll("host-one", kLimit);
  BOOST_TEST(second == kLimit - held);
}

}  // namespace
}  // namespace radishwing::control

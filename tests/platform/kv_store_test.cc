#include "src/platform/kv_store.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "src/platform/change_id.h"
#include "tests/platform/platform_fixture.h"

namespace radishwing::platform {
namespace {

using platform_fake::fault_mode;

// Guards against a write that took effect being reported as failed, and
// against writing it twice.
BOOST_FIXTURE_TEST_CASE(kv_store_lost_answer_is_resolved_by_change_id,
                        platform_fixture) {
  Fault(fault_mode::kLoseAnswers, 1);
  const auto first = Swap("k", 0, "a");
  BOOST_TEST((first.state == swap_state::kDone));
  BOOST_TEST(first.version == 1u);
  BOOST_TEST(fake->Calls("kv_write") == 1u);
  BOOST_TEST(fake->Calls("kv_read") == 1u);
  BOOST_TEST((Swap("k", 0, "b").state == swap_state::kConflict));
}

// Guards against a lost answer reported as done or as not done after another
// writer has changed the record.
BOOST_FIXTURE_TEST_CASE(kv_store_lost_answer_then_overwritten_is_unknown,
                        platform_fixture) {
  Fault(fault_mode::kLoseAnswers, 1);
  std::optional<swap_outcome> outcome;
  store->Swap({"k", 0, "{\"change_id\":\"a\"}", ""},
              [&](swap_outcome o) { outcome = std::move(o); });
  RunUntil([&] { return fake->Store().Revision() == 1; });
  fake->Store().Put("k", 1, "{\"change_id\":\"b\"}", "");
  RunUntil([&] { return outcome.has_value(); });
  BOOST_TEST((outcome->state == swap_state::kUnknown));
  BOOST_TEST(ChangeIdOf(outcome->current.value) == "b");
}

// Guards against mixing up "not done" and "effect unknown".
BOOST_FIXTURE_TEST_CASE(kv_store_down_is_not_done_silent_is_unknown,
                        platform_fixture) {
  Fault(fault_mode::kDown);
  BOOST_TEST((Swap("k", 0, "a").state == swap_state::kNotDone));
  Fault(fault_mode::kNone);
  BOOST_TEST((Swap("k", 0, "a").state == swap_state::kDone));
  // The write is lost on a silent connection; a new one brings it through.
  Fault(fault_mode::kSilent);
  BOOST_TEST((Swap("k", 1, "b").state == swap_state::kDone));
  BOOST_TEST(fake->Store().Read("k")->version == 2u);
  // Answers are lost and the store then stays down.
  Fault(fault_mode::kLoseAnswers, 1);
  std::optional<swap_outcome> outcome;
  store->Swap({"k", 2, "{\"change_id\":\"c\"}", ""},
              [&](swap_outcome o) { outcome = std::move(o); });
  RunUntil([&] { return fake->Store().Revision() == 3; });
  Fault(fault_mode::kDown);
  RunUntil([&] { return outcome.has_value(); });
  BOOST_TEST((outcome->state == swap_state::kUnknown));
}

// Guards against "not done" for a write that a slow store completes later, and
// against a second effect of the repeats.
BOOST_FIXTURE_TEST_CASE(kv_store_slow_write_is_unknown_or_done,
                        platform_fixture) {
  fake->SetFault({fault_mode::kSlow, 20, 0, ""});
  BOOST_TEST((Swap("k", 0, "a").state == swap_state::kDone));
  // Longer than the deadline of a call: every answer comes too late.
  fake->SetFault({fault_mode::kSlow, 500, 0, ""});
  BOOST_TEST((Swap("k", 1, "b").state == swap_state::kUnknown));
  Fault(fault_mode::kNone);
  RunUntil([&] { return fake->Store().Read("k")->version == 2; });
  BOOST_TEST((Swap("k", 2, "c").state == swap_state::kDone));
  BOOST_TEST(fake->Store().Revision() == 3u);
}

// Guards against hiding the store's limits, and against a value above 1 MB
// that is taken for a transient failure.
BOOST_FIXTURE_TEST_CASE(kv_store_limits_are_reported, platform_fixture) {
  fake_options.writes_per_s = 1;
  Restart();
  BOOST_TEST((Swap("k", 0, "a").state == swap_state::kDone));
  BOOST_TEST((Swap("k", 1, "b").state == swap_state::kNotDone));
  BOOST_TEST(fake->Calls("rate_limited") == 1u);
  time.Advance(1000);
  const auto large = Swap("k", 1, std::string(2 << 20, 'x'));
  BOOST_TEST((large.state == swap_state::kNotDone));
  BOOST_TEST(large.message.find("413") != std::string::npos);
}

// Guards against a holder that keeps a duty after its lease has lapsed.
BOOST_FIXTURE_TEST_CASE(kv_store_lapsed_lease_deletes_its_keys,
                        platform_fixture) {
  const auto lease = Await<result<std::string>>(
      [&](auto done) { store->GrantLease(5000, done); });
  BOOST_TEST(
      (Swap("lease/x", 0, "a", Value(lease)).state == swap_state::kDone));
  Fault(fault_mode::kLapseLease, 0, Value(lease));
  const auto read =
      Await<result<kv_item>>([&](auto done) { store->Read("lease/x", done); });
  BOOST_TEST((Error(read).kind == failure_kind::kNotFound));
  const auto renewed = Await<result<done>>(
      [&](auto done) { store->RenewLease(Value(lease), done); });
  BOOST_TEST((Error(renewed).kind == failure_kind::kNotFound));
  BOOST_TEST(
      (Swap("lease/x", 0, "b", Value(lease)).state == swap_state::kNotDone));
}

// Guards against missed changes and deletions, and against a watch that waits
// on a silent connection for ever.
BOOST_FIXTURE_TEST_CASE(kv_store_watch_reports_changes, platform_fixture) {
  Swap("p/a", 0, "1");
  std::optional<result<kv_page>> page;
  store->Watch("p/", 1, 5000, [&](result<kv_page> p) { page = std::move(p); });
  RunUntil([&] { return fake->Calls("watch") == 1; });
  Swap("q", 0, "2");
  Swap("p/b", 0, "3");
  RunUntil([&] { return page.has_value(); });
  BOOST_TEST(Value(*page).items.size() == 1u);
  BOOST_TEST(Value(*page).items[0].key == "p/b");
  Await<swap_outcome>([&](auto done) { store->Delete("p/a", 1, done); });
  const auto deleted = Await<result<kv_page>>(
      [&](auto done) { store->Watch("p/", 3, 5000, done); });
  BOOST_TEST(Value(deleted).items[0].deleted);
  Fault(fault_mode::kSilent);
  const auto silent = Await<result<kv_page>>(
      [&](auto done) { store->Watch("p/", 4, 10, done); });
  BOOST_TEST((Error(silent).kind == failure_kind::kTimeout));
}

}  // namespace
}  // namespace radishwing::platform

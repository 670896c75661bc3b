#include "src/node/membership.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "src/node/record_keys.h"
#include "src/node/term_record.h"
#include "src/sched/term_lease.h"
#include "tools/fleet_fake/fake_store.h"

namespace radishwing::node {
namespace {

// Time limit that only stops a hanging test. A test normally takes a small
// fraction of it.
constexpr std::chrono::seconds kHangTimeout{60};

struct membership_fixture {
  membership_fixture() {
    context.settings.name = "n1";
    context.now = clock([this] { return monotonic.Now() + skipped_ms; });
    platform::store_client::hooks store_hooks;
    store_hooks.observe = [](const platform::store_call_report&) {};
    context.store =
        Value(platform::store_client::Make(io, store.Address(), store_hooks));
    membership_hooks hooks;
    hooks.elected = [this](const election& won) {
      events.push_back("elected " + std::to_string(won.term));
      lease_wait_ms = won.predecessor_lease_end - context.now.Now();
      lease_age_ms = context.now.Now() - won.lease_renewed_at;
    };
    hooks.lease_renewed = [this](millis) { events.emplace_back("renewed"); };
    hooks.leadership_lost = [this] { events.emplace_back("leadership lost"); };
    subject =
        std::make_unique<membership>(context, "127.0.0.1:1", std::move(hooks));
  }

  bool Happened(const std::string& event) const {
    return std::ranges::find(events, event) != events.end();
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + kHangTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  /// Lets the node's lease get too old for orders, while the store keeps it:
  /// another node leads, and the renewals get no response.
  void LeadElsewhereUntilLeaseIsOld() {
    store.Put(ShardKey(), "n0");
    BOOST_REQUIRE(RunUntil([&] { return Happened("renewed"); }));
    store.HoldRenewalResponses(1000);
    skipped_ms += sched::kNodeLeaseMs + sched::kLeaderGraceMs;
  }

  boost::asio::io_context io;
  clock monotonic = clock::Monotonic();
  millis skipped_ms = 0;  ///< Added to the node's clock.
  fleet_fake::fake_store store{io};
  node_context context{io, {}};
  std::vector<std::string> events;
  /// Time from the election until the leases of earlier leaders have expired.
  millis lease_wait_ms = 0;
  /// Time from the last renewal of the lease to the election.
  millis lease_age_ms = 0;
  std::unique_ptr<membership> subject;
};

BOOST_FIXTURE_TEST_SUITE(membership_leases, membership_fixture)

// ShardKey() is bound to a lease. After that lease has expired, the grant of a
// new lease must not be treated as a renewal. Because of this fault, a leader
// that had been partitioned along with its data centre considered itself the
// only leader. The leader started tasks again that its successor was already
// running.
BOOST_AUTO_TEST_CASE(expired_lease_ends_leadership_before_any_renewal) {
  BOOST_REQUIRE(RunUntil([&] { return Happened("elected 1"); }));
  store.SetWatchesMuted(true);  // The watch does not report the removed key.
  events.clear();
  store.ExpireAllLeases();
  BOOST_REQUIRE(RunUntil([&] { return !events.empty(); }));
  BOOST_TEST(events.front() == "leadership lost");
}

// Guards against a node that no longer campaigns for leadership after its lease
// expired.
BOOST_AUTO_TEST_CASE(node_with_expired_lease_is_elected_again) {
  BOOST_REQUIRE(RunUntil([&] { return Happened("elected 1"); }));
  store.ExpireAllLeases();
  BOOST_TEST(RunUntil([&] { return Happened("elected 2"); }));
}

// Guards against losing the lease while responses of the store are late: a
// renewal must not wait for the response to the one before.
BOOST_AUTO_TEST_CASE(unanswered_renewals_do_not_delay_the_next_ones) {
  BOOST_REQUIRE(RunUntil([&] { return Happened("elected 1"); }));
  const std::uint64_t before = store.RenewalCount();
  const clock now = clock::Monotonic();
  const millis held_at = now.Now();
  store.HoldRenewalResponses(8);
  BOOST_REQUIRE(RunUntil([&] { return store.RenewalCount() >= before + 9; }));
  BOOST_TEST(!Happened("leadership lost"));
  // Each unanswered renewal took 900 ms before.
  BOOST_TEST(now.Now() - held_at < 6500);
}

// Guards against starting tasks of a silent runner again after a term that was
// too short for the leases of the leader before it to expire.
BOOST_AUTO_TEST_CASE(leases_from_before_a_short_term_are_waited_for) {
  constexpr millis kUnendedLeaseMs = 20000;
  store.Put(TermKey(), EncodeTerm({7, "n0", true, 0, context.unix_now.Now(),
                                   kUnendedLeaseMs}));
  BOOST_REQUIRE(RunUntil([&] { return Happened("elected 8"); }));
  BOOST_TEST(lease_wait_ms > kUnendedLeaseMs / 2);
}

// Guards against a term without a leader that goes on until the next renewal,
// which may not come: nobody can be elected before the resignation is stored.
BOOST_AUTO_TEST_CASE(resignation_is_repeated_without_a_renewal) {
  BOOST_REQUIRE(RunUntil([&] { return Happened("elected 1"); }));
  store.SetUnavailable(true);
  events.clear();
  subject->Resign(0);
  const int refused = store.RefusedCommitCount();
  BOOST_TEST(RunUntil([&] {
    return store.RefusedCommitCount() >= refused + 3 || Happened("renewed");
  }));
  BOOST_TEST(!Happened("renewed"));
}

// Guards against a term that begins on a lease that is too old for orders. It
// ends at the first periodic check, and the resignation makes the next leader
// wait again before it moves hosts.
BOOST_AUTO_TEST_CASE(term_begins_only_on_a_lease_that_permits_orders) {
  LeadElsewhereUntilLeaseIsOld();
  const std::uint64_t renewals = store.RenewalCount();
  store.Remove(ShardKey());
  BOOST_REQUIRE(RunUntil([&] { return !store.Value(TermKey()).empty(); }));
  BOOST_REQUIRE(RunUntil([&] { return store.RenewalCount() > renewals + 1; }));
  BOOST_TEST(!Happened("elected 1"));
  store.HoldRenewalResponses(0);
  BOOST_REQUIRE(RunUntil([&] { return Happened("elected 1"); }));
  BOOST_TEST(lease_age_ms < sched::kNodeLeaseMs + sched::kLeaderGraceMs);
}

// Guards against a term that begins on a new lease although ShardKey() has
// expired with the earlier one, so that another node may lead.
BOOST_AUTO_TEST_CASE(election_does_not_outlive_the_lease_of_its_key) {
  LeadElsewhereUntilLeaseIsOld();
  store.Remove(ShardKey());
  BOOST_REQUIRE(RunUntil([&] { return !store.Value(TermKey()).empty(); }));
  store.SetWatchesMuted(true);  // The watch does not report the removed key.
  store.ExpireAllLeases();
  store.HoldRenewalResponses(0);
  const std::uint64_t renewals = store.RenewalCount();
  BOOST_REQUIRE(RunUntil([&] { return store.RenewalCount() > renewals + 2; }));
  BOOST_TEST(!Happened("elected 1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

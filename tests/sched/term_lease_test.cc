#include "src/sched/term_lease.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::sched {
namespace {

struct term_lease_fixture {
  static constexpr millis kStart = 100000;
  term_lease subject{kStart};
};

BOOST_FIXTURE_TEST_SUITE(term_lease_rules, term_lease_fixture)

// During a network partition, a successor may keep extending the lease of a
// runner that this leader cannot reach. If the leader treated that lease as
// expired, it would start tasks of the runner a second time.
BOOST_AUTO_TEST_CASE(
    leader_without_renewal_issues_orders_but_is_not_exclusive) {
  const millis later = kStart + kNodeLeaseMs;
  BOOST_TEST(subject.MayIssueOrders(later));
  BOOST_TEST(!subject.IsExclusive(later));
}

BOOST_AUTO_TEST_CASE(renewal_by_an_older_call_does_not_shorten_the_lease) {
  subject.RecordRenewal(kStart + 1000);
  subject.RecordRenewal(kStart + 500);
  BOOST_TEST(subject.IsExclusive(kStart + 1000 + kNodeLeaseMs - 1));
}

// On a runner with a slow clock, the predecessor's last lease expires late. The
// successor must not start a task of that runner again before then.
BOOST_AUTO_TEST_CASE(successor_waits_longer_than_the_last_lease) {
  const millis elected = kStart + kNodeLeaseMs;
  const millis last_order = elected + kLeaderGraceMs - 1;
  BOOST_TEST(!subject.MayIssueOrders(last_order + 1));
  const millis last_lease =
      last_order + kRunnerLeaseMs * (1000 + kClockDriftPermille) / 1000;
  BOOST_TEST(term_lease::PredecessorLeaseEnd(elected, false) > last_lease);
}

// A platform that does not check fencing tokens carries out every order that it
// receives. The last order to a host must end before a successor can send one.
BOOST_AUTO_TEST_CASE(order_to_a_host_ends_before_the_lease) {
  millis last_order = kStart;
  while (subject.MayOrderHosts(last_order + 1)) ++last_order;
  BOOST_TEST(last_order > kStart);
  BOOST_TEST(subject.IsExclusive(last_order + kHostOrderTimeoutMs));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

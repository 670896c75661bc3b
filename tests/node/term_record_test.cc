#include "src/node/term_record.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::node {
namespace {

BOOST_AUTO_TEST_SUITE(term_record_text)

BOOST_AUTO_TEST_CASE(encoded_record_is_read_back) {
  const term_record read = DecodeTerm(EncodeTerm({7, "n1", true, 1234}));
  BOOST_TEST(read.term == 7);
  BOOST_TEST(read.node == "n1");
  BOOST_TEST(read.resigned);
  BOOST_TEST(read.host_order_age_ms == 1234);
}

// Guards against assuming that a leader on another node has stopped although
// that leader did not resign. After a network partition, this node knew only
// its own earlier term.
BOOST_AUTO_TEST_CASE(other_node_that_did_not_resign_has_not_stopped) {
  BOOST_TEST(!(term_record{3, "n2", false, 0}).HasStopped("n1"));
  BOOST_TEST((term_record{3, "n2", true, 0}).HasStopped("n1"));
  BOOST_TEST((term_record{3, "n1", false, 0}).HasStopped("n1"));
}

// Guards against starting tasks of a silent runner again after a short term:
// its leader has resigned, but the one before it may still extend leases.
BOOST_AUTO_TEST_CASE(leases_of_earlier_terms_end_as_time_passes) {
  term_record short_term{7, "n1", true, 0, 100000, 9000};
  BOOST_TEST(short_term.RemainingLease(100000) == 9000);
  BOOST_TEST(short_term.RemainingLease(99000) == 9000);
  BOOST_TEST(short_term.RemainingLease(105500) == 6000);
  BOOST_TEST(short_term.RemainingLease(120000) == 0);
  BOOST_TEST(DecodeTerm(EncodeTerm(short_term)).unended_lease_ms == 9000);
}

BOOST_AUTO_TEST_CASE(record_of_an_earlier_version_has_no_unended_lease) {
  const term_record read = DecodeTerm(
      R"({"term":7,"node":"n1","resigned":true,"host_order_age_ms":5,)"
      R"("began_unix_ms":6})");
  BOOST_TEST(read.term == 7);
  BOOST_TEST(read.unended_lease_ms == 0);
}

BOOST_AUTO_TEST_CASE(unreadable_text_is_no_term) {
  BOOST_TEST(DecodeTerm("").term == 0);
  BOOST_TEST(DecodeTerm("3 resigned").term == 0);
}

// Two lease holders must not send orders to the same host in quick succession.
// A restarted node must not wait for its own earlier process: after a power
// failure, such a wait kept 200 hosts in standby for 3.3 s.
BOOST_AUTO_TEST_CASE(move_pause_applies_only_to_other_holders) {
  const term_record own{3, "n1", false, 0, 100000};
  BOOST_TEST(own.MovePause("n2", 110000, 3300) == 3300);
  BOOST_TEST(own.MovePause("n1", 110000, 3300) == 0);
  // Term 3 began 3 s ago, and an earlier lease holder may have sent an order
  // shortly before it.
  BOOST_TEST(own.MovePause("n1", 103000, 3300) == 3300);
  const term_record resigned{3, "n1", true, 1300, 100000};
  BOOST_TEST(resigned.MovePause("n2", 110000, 3300) == 2000);
  BOOST_TEST(term_record{}.MovePause("n1", 1, 3300) == 0);
}

// Guards against taking down more hosts than a wave allows. A new leader does
// not know which hosts its predecessor took down, even if the predecessor was
// an earlier process of the same node. In a trial, 10 hosts were down where 9
// were allowed.
BOOST_AUTO_TEST_CASE(waves_wait_for_the_full_pause_after_any_leader) {
  BOOST_TEST((term_record{3, "n1", true, 9000, 1}).WavePause(3300) == 3300);
  BOOST_TEST((term_record{3, "n1", false, 0, 1}).WavePause(3300) == 3300);
  BOOST_TEST(term_record{}.WavePause(3300) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

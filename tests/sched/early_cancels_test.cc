#include <boost/test/unit_test.hpp>

#include "src/sched/early_cancels.h"

namespace radishwing::sched {
namespace {

constexpr millis kRetentionMs = 1000;

struct early_cancels_fixture {
  early_cancels subject;
};

BOOST_FIXTURE_TEST_SUITE(early_cancels_retention, early_cancels_fixture)

// Guards against removing a request whose revision is not known: the removal
// could not be conditioned on it.
BOOST_AUTO_TEST_CASE(request_of_unknown_revision_does_not_expire) {
  subject.Add("a", 0, 0);
  BOOST_TEST(subject.Expired(kRetentionMs + 1, kRetentionMs, 10).empty());
  subject.Add("a", 5, 0);
  const auto expired = subject.Expired(kRetentionMs + 1, kRetentionMs, 10);
  BOOST_REQUIRE_EQUAL(expired.size(), 1u);
  BOOST_TEST(expired[0].job == "a");
  BOOST_TEST(expired[0].revision == 5u);
}

BOOST_AUTO_TEST_CASE(request_written_again_is_retained_anew) {
  subject.Add("a", 5, 0);
  subject.Add("a", 6, kRetentionMs);
  BOOST_TEST(subject.Expired(kRetentionMs + 1, kRetentionMs, 10).empty());
  BOOST_TEST(subject.Expired(2 * kRetentionMs + 1, kRetentionMs, 10).size() ==
             1u);
}

BOOST_AUTO_TEST_CASE(request_older_than_the_job_does_not_cancel_it) {
  subject.Add("a", 5, 0);
  BOOST_TEST(!subject.Take("a", 6));
  subject.Add("a", 7, 0);
  BOOST_TEST(subject.Take("a", 6));
  BOOST_TEST(!subject.Take("a", 6));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

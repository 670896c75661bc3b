#include "src/sched/plan_pacer.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::sched {
namespace {

struct plan_pacer_fixture {
  plan_pacer subject;
};

BOOST_FIXTURE_TEST_SUITE(plan_pacer_delay, plan_pacer_fixture)

BOOST_AUTO_TEST_CASE(delay_after_a_short_pass_is_minimal) {
  subject.RecordPassDuration(0);
  BOOST_TEST(subject.DelayBeforeNextPass() <= 5);
}

// Guards against a leader that does not serve cancel requests because it is
// busy with scheduling passes over a long backlog.
BOOST_AUTO_TEST_CASE(long_pass_leaves_three_quarters_of_the_time) {
  subject.RecordPassDuration(20);
  BOOST_TEST(subject.DelayBeforeNextPass() == 60);
}

BOOST_AUTO_TEST_CASE(delay_after_a_very_long_pass_is_bounded) {
  subject.RecordPassDuration(5000);
  BOOST_TEST(subject.DelayBeforeNextPass() == 100);
}

BOOST_AUTO_TEST_CASE(delay_decays_after_short_passes) {
  subject.RecordPassDuration(20);
  for (int i = 0; i < 20; ++i) subject.RecordPassDuration(0);
  BOOST_TEST(subject.DelayBeforeNextPass() <= 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

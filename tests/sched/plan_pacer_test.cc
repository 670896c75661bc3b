#include "src/sched/plan_pacer.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::sched {
namespace {

struct plan_pacer_fixture {
  plan_pacer subject;
};

BOOST_FIXTURE_TEST_SUITE(plan_pacer_delay, plan_pacer_fixture)

BOOST_AUTO_TEST_CASE(cheap_plan_follows_events_at_once) {
  subject.RecordCost(0);
  BOOST_TEST(subject.Delay() <= 5);
}

// Guards against a leader so busy with scheduling passes over a long backlog
// that it does not process cancel requests.
BOOST_AUTO_TEST_CASE(expensive_plan_leaves_three_quarters_of_the_time) {
  subject.RecordCost(20);
  BOOST_TEST(subject.Delay() == 60);
}

BOOST_AUTO_TEST_CASE(delay_after_a_very_expensive_plan_is_bounded) {
  subject.RecordCost(5000);
  BOOST_TEST(subject.Delay() == 100);
}

BOOST_AUTO_TEST_CASE(cost_is_forgotten_after_cheap_plans) {
  subject.RecordCost(20);
  for (int i = 0; i < 20; ++i) subject.RecordCost(0);
  BOOST_TEST(subject.Delay() <= 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

#include <boost/test/unit_test.hpp>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

struct speculation_fixture : scheduler_fixture {
  speculation_fixture() {
    AddRunner("r1");
    AddRunner("r2");
    step.speculative = true;
  }

  fleet::task_step step = Step(1);
};

BOOST_FIXTURE_TEST_SUITE(scheduler_speculation, speculation_fixture)

// Guards against waiting until the lease of an unreachable runner expires,
// although the step allows a second run of a task.
BOOST_AUTO_TEST_CASE(task_on_unreachable_runner_gets_a_copy_elsewhere) {
  AddJob("a", {step});
  const auto first = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(first.size(), 1u);
  subject.SetReachable(first[0].runner, false);
  const auto second = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(second.size(), 1u);
  BOOST_TEST(second[0].runner != first[0].runner);
  BOOST_TEST(second[0].run > first[0].run);
  BOOST_TEST(Plan().empty());
}

// Guards against a speculative copy of a step that does not allow one.
BOOST_AUTO_TEST_CASE(step_without_copies_waits_for_the_lease) {
  step.speculative = false;
  AddJob("a", {step});
  const auto first = PlanAndAccept();
  subject.SetReachable(first[0].runner, false);
  now += 5000;
  BOOST_TEST(Plan().empty());
}

// Guards against a copy that keeps running after the task is done.
BOOST_AUTO_TEST_CASE(other_copy_is_stopped_when_one_is_done) {
  AddJob("a", {step, Step(1)});
  const auto first = PlanAndAccept();
  subject.SetReachable(first[0].runner, false);
  const auto second = PlanAndAccept();
  subject.SetReachable(first[0].runner, true);
  ReportListing(second[0].runner,
                End(1, second[0].task, second[0].run, fleet::run_end::kDone));
  const auto orders = Plan();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST((orders[0].kind == order_kind::kStop));
  BOOST_TEST(orders[0].runner == first[0].runner);
}

// A step that allows copies must start without waiting for runners to list the
// runs that an earlier leader started.
BOOST_AUTO_TEST_CASE(restored_task_with_copies_starts_at_once) {
  subject.AddUnlistedRunner("r3", "pool", "dc");
  AddJob("a", {step}, true);
  BOOST_TEST(Plan().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

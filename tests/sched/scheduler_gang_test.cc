#include <boost/test/unit_test.hpp>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

struct scheduler_gang_fixture : scheduler_fixture {
  scheduler_gang_fixture() {
    gang = Step(2);
    gang.gang = true;
  }
  fleet::task_step gang;
};

BOOST_FIXTURE_TEST_SUITE(scheduler_gangs, scheduler_gang_fixture)

// Guards against gang members that wait forever for other members.
BOOST_AUTO_TEST_CASE(members_start_together_with_one_run_number) {
  AddRunner("r1", 1000);
  AddRunner("r2", 1000);
  AddJob("a", {gang});
  const auto orders = Plan();
  BOOST_REQUIRE_EQUAL(orders.size(), 2u);
  BOOST_TEST(orders[0].run == orders[1].run);
}

BOOST_AUTO_TEST_CASE(no_member_starts_without_capacity_for_all) {
  AddRunner("r1", 1000);
  AddJob("a", {gang});
  BOOST_TEST(Plan().empty());
  BOOST_TEST(subject.TaskCount("r1") == 0);
  // No capacity stays reserved for the gang.
  AddJob("b", {Step(1)});
  BOOST_TEST(Plan().size() == 1u);
}

BOOST_AUTO_TEST_CASE(one_successful_end_completes_all_members) {
  AddRunner("r1");
  AddJob("a", {gang});
  const auto orders = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(orders.size(), 2u);
  ReportListing("r1",
                End(1, orders[0].task, orders[0].run, fleet::run_end::kDone));
  BOOST_TEST((subject.FindJob("a")->phase == job_phase::kSucceeded));
}

// A gang member that ended only because another member ended or never started
// must not use up an attempt.
BOOST_AUTO_TEST_CASE(broken_and_timed_out_gang_ends_use_no_attempt) {
  AddRunner("r1");
  AddJob("a", {gang}, false, 1);
  const auto orders = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(orders.size(), 2u);
  ReportListing("r1", End(1, orders[0].task, orders[0].run,
                          fleet::run_end::kGangTimedOut));
  ReportListing(
      "r1", End(2, orders[1].task, orders[1].run, fleet::run_end::kGangBroken));
  BOOST_TEST((subject.FindJob("a")->phase == job_phase::kRunning));
  const auto again = Plan();
  BOOST_REQUIRE_EQUAL(again.size(), 2u);
  BOOST_TEST(again[0].run > orders[0].run);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

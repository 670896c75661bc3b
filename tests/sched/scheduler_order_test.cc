#include <boost/test/unit_test.hpp>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

BOOST_FIXTURE_TEST_SUITE(scheduler_orders, scheduler_fixture)

// Guards against a second run of a task whose start order got no answer.
BOOST_AUTO_TEST_CASE(unanswered_start_is_repeated_on_the_same_runner_only) {
  AddRunner("r1");
  AddRunner("r2");
  AddJob("a", {Step(1)});
  const auto first = Plan();
  BOOST_REQUIRE_EQUAL(first.size(), 1u);
  subject.ApplyOrderOutcome(first[0], fleet::order_outcome::kUnknown, now);
  now += 1000;
  const auto second = Plan();
  BOOST_REQUIRE_EQUAL(second.size(), 1u);
  BOOST_TEST(second[0].runner == first[0].runner);
  BOOST_TEST(second[0].run == first[0].run);
}

// Guards against losing a task whose start order was certainly not sent.
BOOST_AUTO_TEST_CASE(start_not_sent_moves_to_another_runner) {
  AddRunner("r1");
  AddRunner("r2");
  AddJob("a", {Step(1)});
  const auto first = Plan();
  subject.ApplyOrderOutcome(first[0], fleet::order_outcome::kNotSent, now);
  const auto second = Plan();
  BOOST_REQUIRE_EQUAL(second.size(), 1u);
  BOOST_TEST(second[0].runner != first[0].runner);
}

// Guards against overcommitting a runner that does not enforce its capacity.
BOOST_AUTO_TEST_CASE(runner_is_not_overcommitted_while_a_task_stops) {
  AddRunner("r1", 2000);
  AddJob("a", {Step(2)});
  BOOST_TEST(PlanAndAccept().size() == 2u);
  subject.CancelJob("a", now);
  AddJob("b", {Step(2)});
  const auto orders = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(orders.size(), 2u);
  BOOST_TEST((orders[0].kind == order_kind::kStop));
  BOOST_TEST((orders[1].kind == order_kind::kStop));
  now += 10;
  auto ends = End(1, {"a", 0, 0, 0}, 1, fleet::run_end::kStopped);
  ends.running.push_back({{"a", 0, 0, 1}, 1, "", 10, 0});
  ReportListing("r1", ends);
  BOOST_TEST(Plan().size() == 1u);
}

// Guards against starting a step before its dependencies are done.
BOOST_AUTO_TEST_CASE(step_starts_after_all_tasks_before_it) {
  AddRunner("r1");
  fleet::task_step second = Step(1);
  second.predecessors = {0};
  AddJob("a", {Step(2), second});
  BOOST_TEST(PlanAndAccept().size() == 2u);
  ReportListing("r1", End(1, {"a", 0, 0, 0}, 1, fleet::run_end::kDone));
  BOOST_TEST(Plan().empty());
  ReportListing("r1", End(2, {"a", 0, 0, 1}, 1, fleet::run_end::kDone));
  const auto orders = Plan();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST(orders[0].task.step == 1);
}

// Guards against running tasks that exceed the resource limit of their team.
BOOST_AUTO_TEST_CASE(cap_of_team_bounds_running_tasks) {
  fleet::fleet_config config;
  config.teams.push_back({"team", {"key"}, 1.0, {2000, 0, 0}});
  subject.SetConfig(config);
  AddRunner("r1");
  AddJob("a", {Step(4)});
  BOOST_TEST(Plan().size() == 2u);
}

// A listing that was requested before a run started does not include the run.
// The scheduler must not drop the run because of such a listing.
BOOST_AUTO_TEST_CASE(listing_older_than_start_drops_no_run) {
  AddRunner("r1");
  AddJob("a", {Step(1)});
  const millis poll_sent_at = now;
  now += 5;
  PlanAndAccept();
  subject.ApplyListing("r1", {}, poll_sent_at, now);
  BOOST_TEST(subject.FindRunner("r1")->tasks.size() == 1u);
  now += 5;
  subject.ApplyListing("r1", {}, now, now);
  BOOST_TEST(subject.FindRunner("r1")->tasks.empty());
}

// Guards against starting a cancelled job because many cancel requests have
// arrived whose jobs never came.
BOOST_AUTO_TEST_CASE(cancel_is_remembered_after_many_others_without_a_job) {
  constexpr int kOtherCancels = 20000;
  for (int i = 0; i < kOtherCancels; ++i) {
    subject.CancelJob("other" + std::to_string(i), now);
  }
  AddRunner("r1");
  subject.CancelJob("a", now);
  AddJob("a", {Step(1)});
  BOOST_TEST((subject.FindJob("a")->phase == job_phase::kCancelled));
  BOOST_TEST(Plan().empty());
}

// Guards against starting a job that was stored by an earlier leader and whose
// cancel request arrived before the job.
BOOST_AUTO_TEST_CASE(cancel_before_a_restored_job_is_remembered) {
  AddRunner("r1");
  subject.CancelJob("a", now);
  AddJob("a", {Step(1)}, true);
  BOOST_TEST((subject.FindJob("a")->phase == job_phase::kCancelled));
  BOOST_TEST(Plan().empty());
}

// Guards against starting a job whose cancel request arrived before the job.
BOOST_AUTO_TEST_CASE(cancel_before_the_job_is_remembered) {
  AddRunner("r1");
  subject.CancelJob("a", now);
  AddJob("a", {Step(1)});
  BOOST_TEST(Plan().empty());
  BOOST_TEST((subject.FindJob("a")->phase == job_phase::kCancelled));
}

// A leader whose link is full starts fewer tasks, the most urgent ones first.
BOOST_AUTO_TEST_CASE(starts_beyond_the_allowance_wait_for_the_next_pass) {
  AddRunner("r1");
  AddJob("a", {Step(3)});
  subject.SetStartAllowance(2);
  BOOST_TEST(PlanAndAccept().size() == 2u);
  BOOST_TEST(subject.StartAllowance() == 0);
  BOOST_TEST(PlanAndAccept().empty());
  subject.SetStartAllowance(2);
  BOOST_TEST(PlanAndAccept().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

#include <boost/test/unit_test.hpp>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

BOOST_FIXTURE_TEST_SUITE(scheduler_takeover, scheduler_fixture)

// Guards against acknowledging an end that belongs to no known task: the task
// then ran again (voetnoot-prod trouble-1).
BOOST_AUTO_TEST_CASE(restored_job_end_before_first_plan_is_recorded) {
  AddRunner("r1");
  AddJob("a", {Step(2)}, true);
  const auto recorded =
      List("r1", End(1, {"a", 0, 0, 0}, 1, fleet::run_end::kDone));
  BOOST_REQUIRE_EQUAL(recorded.size(), 1u);
  BOOST_TEST(recorded[0].job == "a");
  BOOST_TEST(!subject.IsKept("a", recorded[0].change));
  const auto orders = Plan();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST(orders[0].task.index == 1);
}

// Guards against a start after the last attempt: the ends of two runs were
// listed by different runners, the later one first.
BOOST_AUTO_TEST_CASE(failed_ends_out_of_order_both_use_an_attempt) {
  AddRunner("r1");
  AddRunner("r2");
  AddJob("a", {Step(1)}, true);
  List("r2", End(1, {"a", 0, 0, 0}, 130, fleet::run_end::kFailed));
  List("r1", End(1, {"a", 0, 0, 0}, 129, fleet::run_end::kFailed));
  BOOST_TEST(Plan().empty());
  BOOST_TEST((subject.FindJob("a")->phase == job_phase::kFailed));
}

// Guards against counting one failed end twice when it was kept but not
// acknowledged before the leader changed.
BOOST_AUTO_TEST_CASE(failed_end_kept_before_counts_once) {
  AddRunner("r1");
  AddJob("a", {Step(1)}, true);
  List("r1", End(1, {"a", 0, 0, 0}, 1, fleet::run_end::kFailed));
  const auto writes = subject.TakeWrites(10);
  BOOST_REQUIRE_EQUAL(writes.size(), 1u);

  scheduler_fixture next;
  next.AddRunner("r1");
  next.AddJob("a", {Step(1)}, true);
  BOOST_REQUIRE(
      Ok(next.subject.RestoreProgress("a", writes[0].text, 7, next.now)));
  next.List("r1", End(1, {"a", 0, 0, 0}, 1, fleet::run_end::kFailed));
  BOOST_TEST((next.subject.FindJob("a")->phase != job_phase::kFailed));
  BOOST_TEST(next.Plan().size() == 1u);
}

// Guards against a second run while a runner that may hold the first one has
// not been heard.
BOOST_AUTO_TEST_CASE(restored_task_waits_for_unlisted_runner) {
  AddRunner("r1");
  subject.ExpectRunner("r2", "pool", "dc");
  AddJob("a", {Step(1)}, true);
  BOOST_TEST(Plan().empty());
  subject.RemoveRunner("r2", now);
  BOOST_TEST(Plan().size() == 1u);
}

// Guards against holding new work back for the sake of old work.
BOOST_AUTO_TEST_CASE(new_job_starts_while_a_runner_is_unlisted) {
  AddRunner("r1");
  subject.ExpectRunner("r2", "pool", "dc");
  AddJob("a", {Step(1)}, false);
  BOOST_TEST(Plan().size() == 1u);
}

// Guards against giving work to a runner that a successor would not ask.
BOOST_AUTO_TEST_CASE(runner_not_recorded_gets_no_work) {
  AddRunner("r1");
  subject.SetRecorded({});
  AddJob("a", {Step(1)});
  BOOST_TEST(Plan().empty());
}

// Guards against overfilling a runner on which tasks of a job that ended under
// an earlier leader are still being stopped (voetnoot-prod trouble-2).
BOOST_AUTO_TEST_CASE(runner_with_stray_runs_gets_no_work) {
  AddRunner("r1");
  fleet::runner_listing listing;
  listing.running.push_back({{"gone", 0, 0, 0}, 1, "", 10, 0});
  List("r1", listing);
  AddJob("a", {Step(1)});
  const auto orders = Plan();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST((orders[0].kind == order_kind::kStop));
  List("r1", {});
  BOOST_TEST(Plan().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

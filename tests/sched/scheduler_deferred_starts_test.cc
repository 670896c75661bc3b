#include <boost/test/unit_test.hpp>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

struct scheduler_deferred_starts_fixture : scheduler_fixture {
  /// Performs one scheduling pass without persisting the progress of jobs.
  std::vector<order> PlanOnce() { return subject.Plan(now, now); }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_deferred_starts,
                         scheduler_deferred_starts_fixture)

// The first start order of a job waits until the job's progress record is
// written. Without the record, a new leader would treat the started job as new
// and run the job's tasks a second time.
BOOST_AUTO_TEST_CASE(first_start_waits_for_the_record) {
  AddRunner("r1");
  AddJob("a", {Step(2)});
  BOOST_TEST(PlanOnce().empty());
  BOOST_TEST(PlanOnce().empty());
  BOOST_REQUIRE(PersistProgress());
  BOOST_TEST(PlanOnce().size() == 2u);
}

BOOST_AUTO_TEST_CASE(deferred_start_keeps_its_reservation) {
  AddRunner("r1", 1000);
  AddJob("a", {Step(1)});
  PlanOnce();
  AddJob("b", {Step(1)});
  BOOST_TEST(PlanOnce().empty());
  PersistProgress();
  const auto orders = PlanOnce();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST(orders[0].task.job == "a");
}

BOOST_AUTO_TEST_CASE(later_step_of_a_recorded_job_starts_at_once) {
  AddRunner("r1");
  fleet::task_step second = Step(1);
  second.predecessors = {0};
  AddJob("a", {Step(1), second});
  const auto first = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(first.size(), 1u);
  ReportListing("r1",
                End(1, first[0].task, first[0].run, fleet::run_end::kDone));
  BOOST_TEST(PlanOnce().size() == 1u);
}

// During a store outage, a job's progress record cannot be written. Guards
// against capacity that stays reserved for such a job, and against start orders
// after a write with an unknown outcome.
BOOST_AUTO_TEST_CASE(failed_write_frees_the_capacity_for_recorded_jobs) {
  AddRunner("r1", 1000);
  AddJob("a", {Step(1)});
  BOOST_TEST(PlanOnce().empty());
  const auto writes = subject.TakeWrites(10);
  BOOST_REQUIRE_EQUAL(writes.size(), 1u);
  subject.ReportWriteFailure("a");
  BOOST_TEST(PlanOnce().empty());
  BOOST_TEST(subject.TaskCount("r1") == 0);
}

BOOST_AUTO_TEST_CASE(cancelled_job_with_a_deferred_start_is_not_started) {
  AddRunner("r1");
  AddJob("a", {Step(1)});
  PlanOnce();
  subject.CancelJob("a", now);
  PersistProgress();
  BOOST_TEST(PlanOnce().empty());
  BOOST_TEST(subject.TaskCount("r1") == 0);
}

BOOST_AUTO_TEST_CASE(deferred_start_moves_when_its_runner_drains) {
  AddRunner("r1");
  AddJob("a", {Step(1)});
  PlanOnce();
  subject.SetRunnerHolds({{"r1", hold_reason::kDraining}});
  AddRunner("r2");
  PersistProgress();
  const auto orders = PlanOnce();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST(orders[0].runner == "r2");
}

// Guards against delaying a job that no leader has started. After a takeover,
// such a job must not wait for an unreachable runner for seconds.
BOOST_AUTO_TEST_CASE(
    job_without_a_record_does_not_wait_for_an_unlisted_runner) {
  AddRunner("r1");
  subject.AddUnlistedRunner("r2", "pool", "dc");
  AddJob("a", {Step(1)}, false);
  BOOST_TEST(Plan().size() == 1u);
}

// After a takeover, a restored job must not wait for the runners of an
// unreachable data centre if the job never ran there.
BOOST_AUTO_TEST_CASE(restored_job_does_not_wait_for_another_data_centre) {
  AddRunner("r1");
  subject.AddUnlistedRunner("r2", "pool", "far");
  AddJob("a", {Step(1)}, true);
  BOOST_TEST(Plan().size() == 1u);
}

BOOST_AUTO_TEST_CASE(unreadable_record_waits_for_every_unlisted_runner) {
  AddRunner("r1");
  subject.AddUnlistedRunner("r2", "pool", "far");
  AddJob("a", {Step(1)}, true);
  BOOST_TEST(!Ok(subject.RestoreProgress("a", "{", 6, now)));
  BOOST_TEST(Plan().empty());
}

// Guards against starting a task in a data centre that the job's progress
// record does not name. A new leader would not wait for the runners in that
// data centre to list the job's runs.
BOOST_AUTO_TEST_CASE(start_in_a_further_data_centre_waits_for_the_record) {
  AddRunner("r1", 1000);
  AddJob("a", {Step(2)});
  BOOST_REQUIRE_EQUAL(Plan().size(), 1u);
  AddRunner("r2", 1000, "far");
  BOOST_TEST(PlanOnce().empty());
  const auto writes = subject.TakeWrites(10);
  BOOST_REQUIRE_EQUAL(writes.size(), 1u);
  BOOST_TEST(writes[0].text.find("far") != std::string::npos);
  subject.ReportWriteSuccess("a", writes[0].progress_version, 200);
  BOOST_TEST(PlanOnce().size() == 1u);
}

BOOST_AUTO_TEST_CASE(tasks_of_a_job_stay_in_its_data_centre) {
  AddRunner("r1", 8000, "near");
  AddRunner("r2", 8000, "far");
  AddJob("filler", {Step(3)});
  PlanAndAccept();
  AddJob("a", {Step(6)});
  std::set<std::string> used;
  for (const order& start : PlanAndAccept()) used.insert(start.runner);
  BOOST_TEST(used.size() == 2u);
  AddJob("b", {Step(2)});
  used.clear();
  for (const order& start : PlanAndAccept()) used.insert(start.runner);
  BOOST_TEST(used.size() == 1u);
}

// Guards against a run that holds the room of its runner without a trace in
// logs and metrics.
BOOST_AUTO_TEST_CASE(run_that_is_not_listed_for_long_is_reported_once) {
  AddRunner("r1");
  AddJob("a", {Step(1)});
  BOOST_TEST(Plan().size() == 1u);
  subject.TakeEvents();
  for (int i = 0; i < 10; ++i) {
    ReportListing("r1", {});
    now += 500;
  }
  const auto events = subject.TakeEvents();
  BOOST_REQUIRE_EQUAL(events.size(), 1u);
  BOOST_TEST((events[0].kind == event_kind::kRunNotListed));
  BOOST_TEST(events[0].detail == "order_outcome");
}

BOOST_AUTO_TEST_SUITE_END()

/// A restored job whose first task an earlier leader started on r1. The copies
/// of this leader on r2 wait until the record names the data centre of r2.
struct deferred_copies_fixture : scheduler_deferred_starts_fixture {
  deferred_copies_fixture() {
    AddRunner("r2", 4000, "far");
    fleet::task_step step = Step(1);
    step.speculative = true;
    fleet::task_step second = Step(1);
    second.predecessors = {0};
    AddJob("a", {step, second}, true);
    BOOST_TEST(PlanOnce().empty());
    BOOST_TEST(subject.TaskCount("r2") == 1);
    AddRunner("r1");
  }

  void EndTaskOnR1() {
    ReportListing("r1",
                  End(1, {"a", 0, 0, 0}, kEarlierRun, fleet::run_end::kDone));
  }

  /// Numbers of the runs of earlier leaders are lower than those of this one.
  static constexpr int kEarlierRun = 0;
};

BOOST_FIXTURE_TEST_SUITE(deferred_copies, deferred_copies_fixture)

// Guards against copies that hold the room of their runner until the next
// leader: they were stopped before their starts were sent, and started after.
BOOST_AUTO_TEST_CASE(copy_without_a_start_is_dropped_when_the_task_is_done) {
  EndTaskOnR1();
  BOOST_TEST(subject.TaskCount("r2") == 0);
  for (const order& given : Plan()) {
    BOOST_TEST(given.task.step == 1);
  }
}

// Guards against the same when the end comes from a record in the store.
BOOST_AUTO_TEST_CASE(copy_without_a_start_is_dropped_when_a_record_is_merged) {
  subject.MergeProgress(
      "a",
      R"({"state":"running","created":1,"data_centres":["dc"],)"
      R"("repetitions":[{"number":0,"done":false,"steps":[)"
      R"({"done":"1","tasks":[]},{"done":"0","tasks":[]}]}]})",
      9, now);
  BOOST_TEST(subject.TaskCount("r2") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

/// A job whose start order got no response yet when its task is stopped.
struct start_in_flight_fixture : scheduler_deferred_starts_fixture {
  start_in_flight_fixture() {
    AddRunner("r1");
    AddJob("a", {Step(1)});
    start = Plan().at(0);
    subject.CancelJob("a", now);
    stop = PlanOnce().at(0);
  }

  order start;
  order stop;
};

BOOST_FIXTURE_TEST_SUITE(start_in_flight, start_in_flight_fixture)

// Guards against room that is given away while a start is on its way: the
// outcome of the stop arrives first, and a listing has not the run.
BOOST_AUTO_TEST_CASE(
    stopped_run_keeps_its_room_until_the_start_has_an_outcome) {
  subject.ApplyOrderOutcome(stop, fleet::order_outcome::kAccepted, now);
  ++now;
  ReportListing("r1", {});
  BOOST_TEST(subject.TaskCount("r1") == 1);
  subject.ApplyOrderOutcome(start, fleet::order_outcome::kStaleRun, now);
  ReportListing("r1", {});
  BOOST_TEST(subject.TaskCount("r1") == 0);
}

// Guards against a stop that is not repeated because the outcome of the start
// arrived meanwhile.
BOOST_AUTO_TEST_CASE(
    unanswered_stop_is_repeated_after_the_outcome_of_the_start) {
  subject.ApplyOrderOutcome(stop, fleet::order_outcome::kUnknown, now);
  subject.ApplyOrderOutcome(start, fleet::order_outcome::kAccepted, now);
  now += 1000;
  const auto orders = PlanOnce();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST((orders[0].kind == order_kind::kStop));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

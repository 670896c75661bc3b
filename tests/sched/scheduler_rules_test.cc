#include <boost/test/unit_test.hpp>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

struct scheduler_rules_fixture : scheduler_fixture {
  /// Returns a listing that contains the run of `start` at 100 percent
  /// progress.
  static fleet::runner_listing Running(const order& start, double load) {
    fleet::runner_listing listing;
    listing.running.push_back({start.task, start.run, "", 100, load});
    return listing;
  }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_rules, scheduler_rules_fixture)

// Guards against placing tasks on a runner that is shutting down.
BOOST_AUTO_TEST_CASE(draining_runner_gets_no_work) {
  AddRunner("r1");
  fleet::runner_report report = subject.FindRunner("r1")->report;
  report.draining = true;
  subject.AddRunner(report);
  AddJob("a", {Step(1)});
  BOOST_TEST(Plan().empty());
}

// Guards against a latency-sensitive task that keeps exceeding its latency
// target because of best-effort tasks on the same runner.
BOOST_AUTO_TEST_CASE(
    best_effort_task_is_throttled_while_its_neighbour_is_slow) {
  AddRunner("r1");
  fleet::task_step latency_sensitive = Step(1);
  latency_sensitive.long_running = true;
  latency_sensitive.tail_latency_target_ms = 100;
  fleet::task_step best_effort = Step(1);
  best_effort.best_effort_cpu = true;
  AddJob("a", {latency_sensitive});
  AddJob("b", {best_effort});
  const auto orders = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(orders.size(), 2u);
  const order& latency_sensitive_start =
      orders[0].task.job == "a" ? orders[0] : orders[1];
  const order& best_effort_start =
      orders[0].task.job == "a" ? orders[1] : orders[0];
  fleet::runner_listing listing = Running(latency_sensitive_start, 120);
  listing.running.push_back(
      {best_effort_start.task, best_effort_start.run, "", 10, 900});
  now += 100;
  ReportListing("r1", listing);
  const auto slower = Plan();
  BOOST_REQUIRE_EQUAL(slower.size(), 1u);
  BOOST_TEST((slower[0].kind == order_kind::kPace));
  BOOST_TEST(slower[0].pace_percent == 0);
  listing.running[0].load = 20;
  now += 100;
  ReportListing("r1", listing);
  const auto faster = Plan();
  BOOST_REQUIRE_EQUAL(faster.size(), 1u);
  BOOST_TEST(faster[0].pace_percent == 100);
}

// Guards against starting a repetition before its due time.
BOOST_AUTO_TEST_CASE(repetition_starts_at_its_time) {
  AddRunner("r1");
  fleet::job_record record;
  record.id = "a";
  record.queue = "queue";
  record.pool = "pool";
  record.request.steps = {Step(1)};
  record.request.repetitions = 2;
  record.request.first_due_ms = now + 500;
  record.request.interval_ms = 1000;
  subject.AddJob(std::move(record), false, now, now);
  BOOST_TEST(Plan().empty());
  now += 500;
  const auto first = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(first.size(), 1u);
  ReportListing("r1",
                End(1, first[0].task, first[0].run, fleet::run_end::kDone));
  BOOST_TEST((subject.FindJob("a")->phase == job_phase::kRunning));
  now += 1000;
  const auto second = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(second.size(), 1u);
  BOOST_TEST(second[0].task.repetition == 1);
}

// Guards against exceeding the limit of tasks per runner, and against placing a
// task on a runner without its required label.
BOOST_AUTO_TEST_CASE(limit_per_runner_and_label_are_enforced) {
  AddRunner("r1");
  AddRunner("r2");
  fleet::task_step spread = Step(3);
  spread.max_per_runner = 1;
  AddJob("a", {spread});
  BOOST_TEST(PlanAndAccept().size() == 2u);
  fleet::task_step labelled = Step(1);
  labelled.required_label = "big";
  AddJob("b", {labelled});
  BOOST_TEST(Plan().empty());
}

// Guards against a task that runs twice: a new incarnation of the runner
// accepted its start after the listing that showed the restart.
BOOST_AUTO_TEST_CASE(
    start_accepted_after_a_restart_was_listed_is_stopped_first) {
  AddRunner("r1");
  AddRunner("r2");
  AddJob("a", {Step(1)});
  const order start = Plan().at(0);
  const millis listing_sent_at = now;
  now += 5;
  subject.ApplyOrderOutcome(start, fleet::order_outcome::kAccepted, now);
  subject.ResetRestartedRunner(start.runner, listing_sent_at, now);
  ReportListing(start.runner, {});
  const auto orders = Plan();
  BOOST_REQUIRE(orders.size() == 1);
  BOOST_TEST((orders[0].kind == order_kind::kStop));
}

// Guards against a stop that the earlier incarnation confirmed and that is
// taken for confirmed by the new one.
BOOST_AUTO_TEST_CASE(stop_is_repeated_after_a_restart) {
  AddRunner("r1");
  AddJob("a", {Step(1)});
  const order start = Plan().at(0);
  subject.ApplyOrderOutcome(start, fleet::order_outcome::kUnknown, now);
  subject.CancelJob("a", now);
  for (const order& stop : PlanAndAccept()) {
    BOOST_TEST((stop.kind == order_kind::kStop));
  }
  now += 1000;
  subject.ResetRestartedRunner("r1", now, now);
  now += 100;
  const auto orders = Plan();
  BOOST_REQUIRE(orders.size() == 1);
  BOOST_TEST((orders[0].kind == order_kind::kStop));
}

// Guards against tasks that start in a data centre after the operator has asked
// for its evacuation.
BOOST_AUTO_TEST_CASE(evacuated_data_centre_gets_no_new_tasks) {
  AddRunner("r1", 4000, "dc1");
  AddRunner("r2", 4000, "dc2");
  AddJob("a", {Step(6)});
  subject.SetEvacuatedDataCentres({"dc1"});
  const auto orders = PlanAndAccept();
  BOOST_TEST(orders.size() == 4u);
  for (const order& start : orders) BOOST_TEST(start.runner == "r2");
  subject.SetEvacuatedDataCentres({});
  BOOST_TEST(PlanAndAccept().size() == 2u);
}

// Guards against a repeated start order that is the first one to be carried
// out, after the data centre was evacuated.
BOOST_AUTO_TEST_CASE(unanswered_start_is_stopped_when_evacuated) {
  AddRunner("r1");
  AddJob("a", {Step(1)});
  const order start = Plan().at(0);
  subject.ApplyOrderOutcome(start, fleet::order_outcome::kUnknown, now);
  subject.SetEvacuatedDataCentres({"dc"});
  now += 1000;
  const auto orders = Plan();
  BOOST_REQUIRE(orders.size() == 1);
  BOOST_TEST((orders[0].kind == order_kind::kStop));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

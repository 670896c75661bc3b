#include <boost/test/unit_test.hpp>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

struct long_running_fixture : scheduler_fixture {
  long_running_fixture() {
    AddRunner("r1");
    AddRunner("r2");
    AddRunner("r3");
    fleet::task_step step = Step(3);
    step.long_running = true;
    step.max_per_runner = 1;
    step.has_disruption_budget = true;
    step.max_unavailable = 1;
    AddJob("a", {step});
    orders = PlanAndAccept();
    now += 10;
  }

  /// Reports a listing that contains the run of `started` at `percent`
  /// progress.
  void ListTask(const order& started, int percent) {
    fleet::runner_listing listing;
    listing.running.push_back({started.task, started.run, "", percent, 0});
    ReportListing(started.runner, listing);
  }

  std::vector<order> orders;
};

BOOST_FIXTURE_TEST_SUITE(scheduler_evacuate, long_running_fixture)

// Guards against stopping more tasks of a step than its disruption budget
// allows.
BOOST_AUTO_TEST_CASE(second_host_waits_while_the_first_task_is_unavailable) {
  for (const order& started : orders) ListTask(started, 100);
  subject.Evacuate("r1", true, now);
  subject.Evacuate("r2", true, now);
  BOOST_TEST(Plan().size() == 1u);
}

// The most recent listing shows that the task to be stopped is still starting
// up. The task may have become available since then, so it must not be treated
// as already unavailable.
BOOST_AUTO_TEST_CASE(task_not_seen_available_counts_against_the_budget) {
  ListTask(orders[0], 50);
  ListTask(orders[1], 100);
  ListTask(orders[2], 50);
  subject.Evacuate(orders[0].runner, true, now);
  BOOST_TEST(Plan().empty());
}

// Guards against counting a task on an unreachable runner as available, for
// example after the failure of a rack.
BOOST_AUTO_TEST_CASE(task_on_unreachable_runner_counts_as_unavailable) {
  for (const order& started : orders) ListTask(started, 100);
  subject.SetReachable(orders[1].runner, false);
  subject.Evacuate(orders[0].runner, true, now);
  BOOST_TEST(Plan().empty());
}

// Guards against treating a runner as empty before its first listing, right
// after a leader change.
BOOST_AUTO_TEST_CASE(runner_that_has_not_listed_is_not_empty) {
  fleet::runner_report report;
  report.id = "r9";
  report.pool = "pool";
  subject.AddRunner(report);
  BOOST_TEST(!subject.Evacuate("r9", true, now));
}

/// Two long-running tasks that the predecessor started on two runners.
struct adopted_tasks_fixture : scheduler_fixture {
  adopted_tasks_fixture() {
    subject.SetMaxStopDuration(kMaxStopMs);
    AddRunner("r1");
    AddRunner("r2");
    fleet::task_step step = Step(2);
    step.long_running = true;
    step.has_disruption_budget = true;
    step.max_unavailable = 1;
    AddJob("a", {step}, true);
  }

  /// Reports that task `index` runs on `runner`, at `clock_ms` on its clock.
  void ListTask(const std::string& runner, int index, millis clock_ms) {
    fleet::runner_listing listing;
    listing.runner_clock_ms = clock_ms;
    listing.running.push_back({{"a", 0, 0, index}, 7, "", 100, 0});
    ReportListing(runner, listing);
  }

  static constexpr millis kMaxStopMs = 900;
};

// Until a stop of the predecessor has ended, the runner lists the task as
// before.
BOOST_FIXTURE_TEST_CASE(
    task_that_the_predecessor_may_be_stopping_is_unavailable,
    adopted_tasks_fixture) {
  ListTask("r1", 0, 5000);
  ListTask("r2", 1, 5000);
  subject.Evacuate("r1", true, now);
  BOOST_TEST(Plan().empty());
  ListTask("r2", 1, 5000 + kMaxStopMs - 1);
  subject.Evacuate("r1", true, now);
  BOOST_TEST(Plan().empty());
  ListTask("r2", 1, 5000 + kMaxStopMs);
  subject.Evacuate("r1", true, now);
  BOOST_TEST(Plan().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

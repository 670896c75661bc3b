#include <boost/test/unit_test.hpp>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

struct lasting_fixture : scheduler_fixture {
  lasting_fixture() {
    AddRunner("r1");
    AddRunner("r2");
    AddRunner("r3");
    fleet::task_step step = Step(3);
    step.long_running = true;
    step.max_per_runner = 1;
    step.bounded_disruption = true;
    step.max_disrupted = 1;
    AddJob("a", {step});
    orders = PlanAndAccept();
    now += 10;
  }

  /// The runner lists its task with `percent`.
  void ListTask(const order& started, int percent) {
    fleet::runner_listing listing;
    listing.running.push_back({started.task, started.run, "", percent, 0});
    List(started.runner, listing);
  }

  std::vector<order> orders;
};

BOOST_FIXTURE_TEST_SUITE(scheduler_evacuate, lasting_fixture)

// Guards against taking away more tasks of a step than it may miss.
BOOST_AUTO_TEST_CASE(second_host_waits_while_the_first_task_is_away) {
  for (const order& started : orders) ListTask(started, 100);
  subject.Evacuate("r1", true, now);
  subject.Evacuate("r2", true, now);
  BOOST_TEST(Plan().size() == 1u);
}

// Guards against stopping a task that is at work though its last look was
// taken while it started up (bmkm-radishwing scale-2).
BOOST_AUTO_TEST_CASE(task_not_seen_at_work_counts_against_the_budget) {
  ListTask(orders[0], 50);
  ListTask(orders[1], 100);
  ListTask(orders[2], 50);
  subject.Evacuate(orders[0].runner, true, now);
  BOOST_TEST(Plan().empty());
}

// Guards against counting a task on a silent runner as at work
// (voetnoot-prod scale-1, a rack lost).
BOOST_AUTO_TEST_CASE(task_on_silent_runner_counts_as_away) {
  for (const order& started : orders) ListTask(started, 100);
  subject.SetReachable(orders[1].runner, false);
  subject.Evacuate(orders[0].runner, true, now);
  BOOST_TEST(Plan().empty());
}

// Guards against taking a runner for empty that has not told what runs there
// (AVAIL, voetnoot-prod trouble-2 right after a handover).
BOOST_AUTO_TEST_CASE(runner_that_has_not_listed_is_not_empty) {
  fleet::runner_report report;
  report.id = "r9";
  report.pool = "pool";
  subject.AddRunner(report);
  BOOST_TEST(!subject.Evacuate("r9", true, now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

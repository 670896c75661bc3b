#include <boost/test/unit_test.hpp>

#include "src/sched/backlog_collector.h"
#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

/// A scheduler with one runner of four cores. A job of the fixture with one
/// step has an objective of 1,600 ms and can wait for 1,100 ms.
struct scheduler_backlog_fixture : scheduler_fixture {
  scheduler_backlog_fixture() { AddRunner("r1", 4000); }

  /// Sets the resource limit of the team.
  void SetLimit(const fleet::resources& limit) {
    fleet::fleet_config config;
    config.pools.push_back({"pool", false, false});
    config.teams.push_back({"team", {"key"}, 3.0, limit});
    subject.SetConfig(config);
  }

  backlog_summary Backlog() const { return subject.BacklogByPool(now); }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_backlog, scheduler_backlog_fixture)

BOOST_AUTO_TEST_CASE(pool_without_waiting_work_is_missing) {
  AddJob("a", {Step(4)});
  Plan();
  BOOST_TEST(Backlog().pools.empty());
}

BOOST_AUTO_TEST_CASE(waiting_work_is_divided_by_the_time_it_can_wait) {
  AddJob("a", {Step(12)});
  Plan();
  auto summary = Backlog();
  BOOST_REQUIRE_EQUAL(summary.pools.size(), 1u);
  BOOST_TEST(summary.complete);
  BOOST_TEST(summary.pools[0].room_millicores == 4000);
  BOOST_REQUIRE_EQUAL(summary.pools[0].teams.size(), 1u);
  team_backlog team = summary.pools[0].teams[0];
  BOOST_TEST(team.claim.team == "team");
  BOOST_TEST(team.used_millicores == 4000);
  BOOST_TEST(team.waiting_millicores == 8000);
  BOOST_TEST(team.feasible_core_ms[SlackIndex(1100)] == 8 * 500);
  BOOST_TEST(team.limit_millicores < 0);
  now += 2000;
  team = Backlog().pools[0].teams[0];
  BOOST_TEST(team.late_core_ms == 8 * 500);
  BOOST_TEST(team.WaitingCoreMs() == 8 * 500);
  // Work without value is not a backlog.
  now += 4000;
  BOOST_TEST(Backlog().pools.empty());
}

// Guards against counting later steps as work that goes before a new job.
BOOST_AUTO_TEST_CASE(steps_that_wait_for_others_are_told_apart) {
  fleet::task_step second = Step(2);
  second.predecessors = {0};
  AddJob("a", {Step(12), second});
  Plan();
  const team_backlog team = Backlog().pools[0].teams[0];
  BOOST_TEST(team.waiting_millicores == 8000);
  BOOST_TEST(team.blocked_core_ms == 2 * 500);
  BOOST_TEST(team.WaitingCoreMs() == 10 * 500);
}

BOOST_AUTO_TEST_CASE(long_running_tasks_reduce_the_room) {
  fleet::task_step step = Step(2);
  step.long_running = true;
  AddJob("a", {step});
  AddJob("b", {Step(12)});
  Plan();
  const auto summary = Backlog();
  BOOST_REQUIRE_EQUAL(summary.pools.size(), 1u);
  BOOST_TEST(summary.pools[0].room_millicores == 2000);
}

// Guards against a limit of memory that is compared with processor time.
BOOST_AUTO_TEST_CASE(team_limit_is_that_of_the_resource_that_binds) {
  AddJob("a", {Step(12)});
  SetLimit({0, 600, 0});
  Plan();
  const team_backlog team = Backlog().pools[0].teams[0];
  BOOST_TEST(team.weight == 3);
  // A task needs 1,000 millicores and 100 MB, so six tasks may run.
  BOOST_TEST(team.limit_millicores == 6000);
}

BOOST_AUTO_TEST_CASE(summary_is_incomplete_until_all_runners_are_listed) {
  subject.AddUnlistedRunner("r2", "pool", "dc");
  BOOST_TEST(!Backlog().complete);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

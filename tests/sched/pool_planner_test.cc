#include "src/sched/pool_planner.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::sched {
namespace {

struct pool_planner_fixture {
  /// Returns an available host with 16 cores.
  pool_host Host(const std::string& name, const std::string& pool, bool empty) {
    return {name, pool, true, false, empty, 16000};
  }

  std::vector<host_move> Plan() { return subject.Plan(now, hosts, demand); }

  /// Plans once with a blocked task in pool "b" and without hosts, then removes
  /// the task from the demand.
  void RecordPastDemand() {
    demand["b"].blocked_core_ms = 100;
    subject.Plan(now, {}, demand);
    demand["b"].blocked_core_ms = 0;
  }

  millis now = 0;
  std::vector<pool_host> hosts;
  std::map<std::string, pool_demand> demand = {{"a", {}}, {"b", {}}};
  pool_planner subject{"off"};
};

BOOST_FIXTURE_TEST_SUITE(pool_planner_moves, pool_planner_fixture)

BOOST_AUTO_TEST_CASE(blocked_tasks_request_a_standby_host) {
  hosts = {Host("h1", "off", true)};
  demand["a"].blocked_core_ms = 5000;
  const auto moves = Plan();
  BOOST_REQUIRE_EQUAL(moves.size(), 1u);
  BOOST_TEST(moves[0].to_pool == "a");
}

// Guards against a long-running task that stays blocked although the pool has
// free capacity. The task cannot use that capacity, because the only free
// runners already have a task of the same step.
BOOST_AUTO_TEST_CASE(
    blocked_long_running_task_requests_a_host_despite_free_capacity) {
  hosts = {Host("h1", "off", true), Host("h2", "a", false)};
  demand["a"].capacity_millicores = 16000;
  demand["a"].blocked_long_running_tasks = 1;
  BOOST_TEST(Plan().size() == 1u);
}

BOOST_AUTO_TEST_CASE(arriving_host_is_not_requested_twice) {
  hosts = {Host("h1", "off", true), {"h2", "a", false, true, false, 16000}};
  demand["a"].blocked_core_ms = 5000;
  BOOST_TEST(Plan().empty());
}

BOOST_AUTO_TEST_CASE(busy_host_stays) {
  hosts = {Host("h1", "b", false)};
  demand["a"].blocked_core_ms = 5000;
  now = 10000;
  BOOST_TEST(Plan().empty());
}

BOOST_AUTO_TEST_CASE(idle_host_moves_to_standby_above_the_reserve) {
  hosts = {Host("h1", "a", true), Host("h2", "a", true), Host("h3", "a", true)};
  demand["a"].capacity_millicores = 48000;
  RecordPastDemand();
  BOOST_TEST(Plan().empty());
  now = 10000;
  const auto moves = Plan();
  BOOST_REQUIRE_EQUAL(moves.size(), 1u);
  BOOST_TEST(moves[0].to_pool == "off");
}

// Guards against powering off the fleet before the first job arrives. In one
// case, only 8 of 294 hosts were powered on when the first job arrived.
BOOST_AUTO_TEST_CASE(no_host_moves_to_standby_before_tasks_were_blocked) {
  hosts = {Host("h1", "a", true), Host("h2", "a", true), Host("h3", "a", true)};
  demand["a"].capacity_millicores = 48000;
  Plan();
  now = 60000;
  BOOST_TEST(Plan().empty());
}

// Guards against moving idle hosts to standby while hosts are needed elsewhere.
// Moves to standby and all other moves share one limited order rate.
BOOST_AUTO_TEST_CASE(no_host_moves_to_standby_while_tasks_are_blocked) {
  hosts = {Host("h1", "a", true), Host("h2", "a", true), Host("h3", "a", true)};
  demand["a"].capacity_millicores = 48000;
  RecordPastDemand();
  Plan();
  now = 10000;
  demand["b"].blocked_core_ms = 100;
  for (const host_move& move : Plan()) BOOST_TEST(move.to_pool == "b");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

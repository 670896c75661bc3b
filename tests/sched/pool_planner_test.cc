#include "src/sched/pool_planner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>

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

// Guards against a pool that keeps its hosts for work that ends too late, while
// the work of another pool, which can still end in time, waits.
BOOST_AUTO_TEST_CASE(idle_host_of_a_pool_with_late_work_moves_to_useful_work) {
  hosts = {Host("h1", "a", true), Host("h2", "a", true), Host("h3", "a", true)};
  demand["a"].capacity_millicores = 48000;
  demand["a"].blocked_core_ms = demand["a"].late_core_ms = 1e6;
  demand["b"].blocked_core_ms = 5000;
  Plan();
  now = 5000;
  const auto moves = Plan();
  BOOST_REQUIRE_EQUAL(moves.size(), 1u);
  BOOST_TEST(moves[0].to_pool == "b");
  BOOST_TEST(MoveReasonName(moves[0].reason) == "blocked");
}

BOOST_AUTO_TEST_CASE(late_work_gets_the_hosts_that_no_useful_work_needs) {
  hosts = {Host("h1", "off", true), Host("h2", "off", true)};
  demand["a"].blocked_core_ms = demand["a"].late_core_ms = 1e6;
  demand["b"].blocked_core_ms = 5000;
  const auto moves = Plan();
  BOOST_REQUIRE_EQUAL(moves.size(), 2u);
  BOOST_TEST(moves[0].to_pool == "b");
  BOOST_TEST(moves[1].to_pool == "a");
  BOOST_TEST(MoveReasonName(moves[1].reason) == "late_backlog");
}

// Guards against one flooded pool that gets all hosts because its backlog is
// the largest.
BOOST_AUTO_TEST_CASE(useful_work_of_several_pools_divides_the_hosts) {
  for (int i = 0; i < 10; ++i) {
    hosts.push_back(Host("h" + std::to_string(i), "off", true));
  }
  demand["a"].blocked_core_ms = 1e9;
  demand["b"].blocked_core_ms = 30000;
  const auto moves = Plan();
  BOOST_REQUIRE_EQUAL(moves.size(), 10u);
  BOOST_TEST(std::ranges::count(moves, "b", &host_move::to_pool) == 4);
}

// Guards against moves that cost more than they bring: a host that has just
// arrived would be away for two moves without having worked in between.
BOOST_AUTO_TEST_CASE(host_that_has_just_arrived_does_not_move_again) {
  hosts = {{"h1", "a", false, true, false, 16000},
           Host("h2", "a", true),
           Host("h3", "a", true)};
  demand["a"].capacity_millicores = 48000;
  demand["b"].blocked_core_ms = 5000;
  Plan();
  hosts[0] = Host("h1", "a", true);
  now = 1000;
  for (const host_move& move : Plan()) BOOST_TEST(move.host != "h1");
  now = 2500;
  hosts = {hosts[0]};
  demand["a"].capacity_millicores = 200000;
  BOOST_TEST(Plan().size() == 1u);
}

BOOST_AUTO_TEST_CASE(unusual_input_orders_no_useless_move) {
  demand["a"].blocked_core_ms = 1e300;
  BOOST_TEST(Plan().empty());
  hosts = {Host("h1", "off", true), Host("h2", "off", true)};
  hosts[0].cpu_millicores = 0;
  hosts[1].cpu_millicores = -16000;
  BOOST_TEST(Plan().empty());
  hosts = {Host("h3", "off", true)};
  demand["a"].blocked_core_ms = std::nan("");
  BOOST_TEST(Plan().empty());
  demand["a"].blocked_core_ms = 1e300;
  now = -5;
  BOOST_TEST(Plan().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

/// Two pools of six hosts with 16 cores each. Pool "a" has more late work than
/// it can do, and pool "b" gets a burst of work that can end in time. A host of
/// a pool with waiting work is always full, until it leaves; it is then empty
/// after 600 ms.
struct late_backlog_fixture {
  late_backlog_fixture() {
    for (int i = 0; i < 12; ++i) {
      const std::string name = std::to_string(i + 10);
      hosts.push_back({name, i < 6 ? "a" : "b", true, false, false, 16000});
    }
  }

  /// Plans every 100 ms up to `end` and carries the moves out.
  void PlayUntil(millis end) {
    for (; now < end; now += 100) {
      for (pool_host& host : hosts) Advance(host);
      for (const auto* pool : {"a", "b"}) {
        demand[pool].capacity_millicores = 0;
        for (const pool_host& host : hosts) {
          if (host.pool == pool && !host.arriving) {
            demand[pool].capacity_millicores += host.cpu_millicores;
          }
        }
        demand[pool].used_millicores = demand[pool].capacity_millicores;
        demand[pool].late_used_millicores =
            demand[pool].late_core_ms > 0 ? demand[pool].used_millicores : 0;
      }
      for (const host_move& move : subject.Plan(now, hosts, demand)) {
        const auto host = std::ranges::find(hosts, move.host, &pool_host::name);
        BOOST_TEST(host->empty);
        host->pool = move.to_pool;
        host->arriving = true;
        host->available = false;
        moved_at[move.host].push_back(now);
      }
    }
  }

  void Advance(pool_host& host) {
    if (host.arriving && now - moved_at[host.name].back() >= 1900) {
      host.arriving = false;
      host.available = true;
    }
    if (!subject.LeavingHosts().contains(host.name)) {
      leaving_since[host.name] = now;
    }
    host.empty = !host.arriving && now - leaving_since[host.name] >= 600;
  }

  int HostsIn(const std::string& pool) {
    return static_cast<int>(std::ranges::count(hosts, pool, &pool_host::pool));
  }

  millis now = 0;
  std::vector<pool_host> hosts;
  std::map<std::string, pool_demand> demand = {{"a", {}}, {"b", {}}};
  std::map<std::string, millis> leaving_since;
  std::map<std::string, std::vector<millis>> moved_at;
  pool_planner subject{"", 1900, [](const std::string&) { return 600; }};
};

BOOST_FIXTURE_TEST_SUITE(pool_planner_late_backlog, late_backlog_fixture)

// Guards against a flood of one pool that reaches the next one: the pool with
// the late backlog would keep all its hosts as long as its backlog lasts.
BOOST_AUTO_TEST_CASE(flooded_pool_gives_hosts_up_and_gets_them_back) {
  demand["a"].blocked_core_ms = demand["a"].late_core_ms = 1e7;
  PlayUntil(1000);
  BOOST_TEST(HostsIn("b") == 6);
  demand["b"].blocked_core_ms = 100000;
  PlayUntil(6000);
  BOOST_TEST(HostsIn("b") >= 9);
  demand["b"].blocked_core_ms = demand["b"].late_core_ms = 1e6;
  demand["a"].late_core_ms = 1e7 - 400000;
  PlayUntil(16000);
  BOOST_TEST(HostsIn("a") >= 9);
  for (const auto& [host, times] : moved_at) {
    for (std::size_t i = 1; i < times.size(); ++i) {
      BOOST_TEST(times[i] - times[i - 1] >= 2 * 1900);
    }
  }
}

BOOST_AUTO_TEST_CASE(hosts_leave_only_for_work_that_outlasts_a_move) {
  demand["a"].blocked_core_ms = demand["a"].late_core_ms = 1e7;
  demand["b"].blocked_core_ms = 10000;
  PlayUntil(1000);
  BOOST_TEST(subject.LeavingHosts().empty());
}

BOOST_AUTO_TEST_CASE(no_host_leaves_for_late_work) {
  demand["a"].blocked_core_ms = demand["a"].late_core_ms = 1e7;
  demand["b"].blocked_core_ms = demand["b"].late_core_ms = 1e6;
  PlayUntil(5000);
  BOOST_TEST(subject.LeavingHosts().empty());
  BOOST_TEST(moved_at.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

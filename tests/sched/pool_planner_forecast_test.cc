#include <boost/test/unit_test.hpp>

#include "tools/fleet_fake/fluid_fleet.h"

namespace radishwing::sched {
namespace {

using fleet_fake::fluid_fleet;

/// Four pools with turns of 4.5 s and 120 hosts with 16 cores each.
struct turns_fixture {
  turns_fixture() {
    for (int i = 0; i < 4; ++i) {
      const std::string name(1, static_cast<char>('a' + i));
      fleet.AddHosts(30, name);
      fleet.pools[name].rate = [i, this](millis now) {
        return turns && now / 4500 % 4 == i ? 700.0 : 35.0;
      };
    }
  }

  /// Plays until `end`. Returns the part of the work that was done late.
  double PlayUntil(millis end, bool forecast = true) {
    double late = 0;
    double arrived = 0;
    for (const auto& [name, pool] : fleet.pools) {
      late -= pool.late_core_ms;
      arrived -= pool.arrived;
    }
    while (fleet.now < end) fleet.Step(forecast);
    for (const auto& [name, pool] : fleet.pools) {
      late += pool.late_core_ms;
      arrived += pool.arrived;
    }
    return late / arrived;
  }

  bool turns = true;
  fluid_fleet fleet;
};

BOOST_FIXTURE_TEST_SUITE(pool_planner_forecast, turns_fixture)

// Guards against hosts that arrive about two seconds after each turn has begun.
BOOST_AUTO_TEST_CASE(periodic_demand_is_met_before_its_turn) {
  PlayUntil(45000);
  BOOST_TEST(fleet.moves[move_reason::kForecast] > 0);
  // At 72 s the turn of pool "a" begins.
  PlayUntil(72000);
  int ready = 0;
  for (const pool_host& host : fleet.hosts) {
    ready += host.pool == "a" && !host.arriving ? 1 : 0;
  }
  BOOST_TEST(ready >= 25);
  BOOST_TEST(PlayUntil(108000) < 0.02);
  BOOST_TEST(fleet.shortest_stay_ms >= fluid_fleet::kMoveMs);
}

BOOST_AUTO_TEST_CASE(forecast_needs_fewer_hosts_and_leaves_less_work_late) {
  PlayUntil(45000);
  const double learned_at = fleet.host_ms;
  const double late = PlayUntil(117000);
  turns_fixture other;
  other.PlayUntil(45000, false);
  const double other_learned_at = other.fleet.host_ms;
  const double other_late = other.PlayUntil(117000, false);
  BOOST_TEST(fleet.host_ms - learned_at <
             0.95 * (other.fleet.host_ms - other_learned_at));
  BOOST_TEST(late < 0.2 * other_late);
}

// Guards against hosts that keep moving for turns that do not come any more.
BOOST_AUTO_TEST_CASE(pattern_that_stops_causes_few_moves) {
  PlayUntil(72000);
  turns = false;
  PlayUntil(90000);
  const int moves = fleet.moves[move_reason::kForecast];
  PlayUntil(150000);
  BOOST_TEST(fleet.moves[move_reason::kForecast] - moves <= 8);
  BOOST_TEST(fleet.shortest_stay_ms >= fluid_fleet::kMoveMs);
}

BOOST_AUTO_TEST_CASE(planner_without_history_follows_the_blocked_work) {
  PlayUntil(72000);
  fleet.planner = pool_planner(fluid_fleet::kStandby, fluid_fleet::kMoveMs);
  const int moves = fleet.moves[move_reason::kBlocked];
  PlayUntil(90000);
  BOOST_TEST(fleet.moves[move_reason::kBlocked] > moves);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

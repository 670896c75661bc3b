#include "src/pools/move_planner.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "src/pools/policy_presets.h"
#include "src/pools/pool_size.h"

namespace radishwing::pools {
namespace {

struct move_fixture {
  settings::policy_settings policy = *PresetPolicy("deadline_surges");
  std::vector<pool_state> state = {{"web", 4, 6, 2, false},
                                   {"batch", 4, 4, 2, false},
                                   {"spare", 3, 0, 2, true}};

  move_fixture() { policy.move_hysteresis_seconds = 40; }
};

// Guards against hosts that move after every short peak.
BOOST_FIXTURE_TEST_CASE(move_planner_short_shortage_moves_nothing,
                        move_fixture) {
  move_planner planner(policy);
  BOOST_TEST(planner.Plan(0, state).empty());
  state[0].wanted = 4;
  BOOST_TEST(planner.Plan(9'000, state).empty());
  state[0].wanted = 6;
  BOOST_TEST(planner.Plan(10'000, state).empty());
  // 40 s scaled by moves against nearness, 1 to 4, are 10 s. The spare pool
  // gives one host down to its floor, and no pool has a surplus.
  const auto moves = planner.Plan(20'000, state);
  BOOST_REQUIRE(moves.size() == 1u);
  BOOST_TEST(moves[0].from == "spare");
  BOOST_TEST(moves[0].to == "web");
}

// Guards against a planner that spends more than its hourly budget.
BOOST_FIXTURE_TEST_CASE(move_planner_budget_used_up_waits_an_hour,
                        move_fixture) {
  policy.move_budget_per_hour = 2;
  state[0].wanted = 9;
  state[2].hosts = 20;
  move_planner planner(policy);
  planner.Plan(0, state);
  BOOST_TEST(planner.Plan(10'000, state).size() == 2u);
  BOOST_TEST(planner.Plan(20'000, state).empty());
  BOOST_TEST(planner.Plan(3'610'000, state).size() == 2u);
}

// Guards against presets that only differ in name.
BOOST_AUTO_TEST_CASE(policy_presets_lean_buffer_keeps_fewer_hosts) {
  const pool_demand demand{80, 16, 8, 4, 2, 10};
  BOOST_TEST(SizePool(demand, *PresetPolicy("deadline_surges")).Total() == 14u);
  BOOST_TEST(SizePool(demand, *PresetPolicy("lean_buffer")).Total() == 10u);
}

}  // namespace
}  // namespace radishwing::pools

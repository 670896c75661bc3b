#include "src/sched/wave_planner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace radishwing::sched {
namespace {

BOOST_AUTO_TEST_SUITE(wave_planner)

// Guards against a maintenance wave that ends late because hosts with
// long-running tasks drain last. These hosts take longest, as a step may lose
// only one task at a time.
BOOST_AUTO_TEST_CASE(hosts_with_long_running_tasks_drain_beside_empty_ones) {
  const std::vector<due_host> due = {
      {"a", "p", 3, 2}, {"b", "p", 0, 0}, {"c", "p", 1, 0}};
  const auto chosen = ChooseHostsToDrain(due, {}, 1);
  BOOST_REQUIRE_EQUAL(chosen.size(), 2u);
  BOOST_TEST((std::ranges::find(chosen, "a") != chosen.end()));
  BOOST_TEST((std::ranges::find(chosen, "b") != chosen.end()));
}

// Guards against draining too many hosts with long-running tasks of one pool.
BOOST_AUTO_TEST_CASE(long_running_drains_are_bounded_for_each_pool) {
  const std::vector<due_host> due = {
      {"a", "p", 1, 1}, {"b", "p", 1, 1}, {"c", "q", 1, 1}};
  const std::vector<draining_host> draining = {{"p", true}};
  const auto chosen = ChooseHostsToDrain(due, draining, 5);
  BOOST_REQUIRE_EQUAL(chosen.size(), 2u);
}

BOOST_AUTO_TEST_CASE(no_slot_left_chooses_no_empty_host) {
  const std::vector<due_host> due = {{"a", "p", 0, 0}};
  const std::vector<draining_host> draining = {{"p", false}};
  BOOST_TEST(ChooseHostsToDrain(due, draining, 1).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

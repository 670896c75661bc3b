#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

/// Runners of 4 cores, a job that misses its objective, and one that is in time
/// and whose task needs a whole runner.
struct kept_room_fixture : scheduler_fixture {
  static constexpr std::int64_t kRunnerMillicores = 4000;

  /// Adds runners, each with a run of `millicores`.
  void AddBusyRunners(int count, std::int64_t millicores, bool long_running) {
    for (int i = 0; i < count; ++i) {
      AddRunner("r" + std::to_string(i), kRunnerMillicores);
    }
    fleet::task_step step = Step(count, millicores);
    step.long_running = long_running;
    step.max_per_runner = 1;
    AddJob("busy", {step});
    BOOST_REQUIRE_EQUAL(PlanAndAccept().size(),
                        static_cast<std::size_t>(count));
  }

  /// Lets a small job miss its objective, adds the large one, and returns the
  /// number of tasks of the small job that are started now.
  std::ptrdiff_t StartsOfLateJob() {
    AddJob("late", {Step(2, 500)});
    now += 20000;
    AddJob("large", {Step(1, kRunnerMillicores)});
    const auto orders = Plan();
    return std::ranges::count_if(
        orders, [](const order& given) { return given.task.job == "late"; });
  }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_kept_room, kept_room_fixture)

// Guards against late jobs without a task at work, in a pool that is almost
// free, for as long as a large task waits for a runner that never gets empty.
BOOST_AUTO_TEST_CASE(room_beside_long_running_tasks_is_given_to_late_work) {
  AddBusyRunners(4, 500, true);
  BOOST_TEST(StartsOfLateJob() == 2);
}

// Guards against late jobs that wait until all runners of a pool are empty.
BOOST_AUTO_TEST_CASE(late_work_gets_half_of_the_runners_of_a_free_pool) {
  AddBusyRunners(4, 500, false);
  BOOST_TEST(StartsOfLateJob() == 2);
}

BOOST_AUTO_TEST_CASE(late_work_gets_no_hole_in_a_pool_that_is_in_use) {
  AddBusyRunners(4, 2500, false);
  BOOST_TEST(StartsOfLateJob() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

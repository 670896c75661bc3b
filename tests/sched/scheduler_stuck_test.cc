#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

/// A scheduler with a runner that runs one task.
struct scheduler_stuck_fixture : scheduler_fixture {
  scheduler_stuck_fixture() {
    AddRunner("r1");
    AddJob("a1", {Step(1)});
    PlanAndAccept();
  }

  /// Applies a listing of the task's run. The runner makes it at `clock_ms` on
  /// its clock, and it arrives `delay` later.
  void ListRun(millis clock_ms, int percent, millis delay = 0) {
    now = clock_ms + delay;
    fleet::runner_listing listing;
    listing.runner_clock_ms = clock_ms;
    listing.running.push_back({{"a1", 0, 0, 0}, 1, "", percent, 0});
    ReportListing("r1", listing);
  }

  /// Returns true if a scheduling pass stops the task.
  bool PlanStops() {
    return std::ranges::any_of(Plan(), [](const order& given) {
      return given.kind == order_kind::kStop;
    });
  }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_stuck, scheduler_stuck_fixture)

BOOST_AUTO_TEST_CASE(run_of_a_runner_without_new_listings_is_not_stopped) {
  ListRun(2000, 30);
  now += 10000;
  BOOST_TEST(!PlanStops());
}

BOOST_AUTO_TEST_CASE(run_with_progress_in_a_delayed_listing_is_not_stopped) {
  ListRun(2000, 30);
  ListRun(4400, 30, 5000);
  BOOST_TEST(!PlanStops());
}

BOOST_AUTO_TEST_CASE(run_without_progress_in_listings_is_stopped) {
  ListRun(2000, 30);
  ListRun(3500, 30);
  BOOST_TEST(!PlanStops());
  ListRun(4500, 30);
  BOOST_TEST(PlanStops());
}

BOOST_AUTO_TEST_CASE(run_with_progress_is_not_stopped) {
  ListRun(2000, 30);
  ListRun(4000, 40);
  ListRun(6000, 40);
  BOOST_TEST(!PlanStops());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

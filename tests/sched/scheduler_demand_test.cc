#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

struct demand_fixture : scheduler_fixture {
  pool_demand Demand() { return subject.DemandByPool(now).at("pool"); }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_demand, demand_fixture)

// The objective of each job is 2 * 500 + 600 = 1600 ms, and its remaining work
// takes 500 ms.
BOOST_AUTO_TEST_CASE(blocked_work_is_told_apart_by_what_it_can_still_reach) {
  AddJob("j1", {Step(2)});
  Plan();
  BOOST_TEST(Demand().blocked_core_ms == 1000);
  BOOST_TEST(Demand().UsefulCoreMs() == 1000);
  now += 1200;
  Plan();
  BOOST_TEST(Demand().UsefulCoreMs() == 0);
  BOOST_TEST(Demand().late_core_ms == 1000);
  BOOST_TEST(Demand().very_late_core_ms == 0);
  now += 4000;
  Plan();
  BOOST_TEST(Demand().very_late_core_ms == 1000);
}

BOOST_AUTO_TEST_CASE(capacity_that_late_runs_use_is_counted) {
  AddRunner("r1");
  AddJob("j1", {Step(2)});
  PlanAndAccept();
  BOOST_TEST(Demand().used_millicores == 2000);
  BOOST_TEST(Demand().late_used_millicores == 0);
  now += 1200;
  BOOST_TEST(Demand().late_used_millicores == 2000);
}

// Guards against a peak in the arrivals when a new leader adds the jobs that
// earlier leaders accepted.
BOOST_AUTO_TEST_CASE(arrivals_count_new_jobs_but_not_restored_ones) {
  AddJob("j1", {Step(2), Step(1)});
  AddJob("j2", {Step(50)}, true);
  BOOST_TEST(Demand().arrived_core_ms == 1500);
}

BOOST_AUTO_TEST_CASE(leaving_runner_gets_no_tasks_until_the_time_is_over) {
  AddRunner("r1");
  AddJob("j1", {Step(1)});
  subject.SetLeaving({"r1"}, now + 1000);
  BOOST_TEST(Plan().empty());
  now += 1000;
  BOOST_TEST(Plan().size() == 1u);
}

BOOST_AUTO_TEST_CASE(busy_time_is_that_of_the_task_that_ends_last) {
  AddRunner("r1");
  BOOST_TEST(subject.BusyMs("r1", now) == 0);
  AddJob("j1", {Step(1)});
  PlanAndAccept();
  now += 100;
  BOOST_TEST(subject.BusyMs("r1", now) == 400);
  fleet::runner_listing listing;
  listing.running.push_back({{"j1", 0, 0, 0}, 1, "", 50, 0});
  ReportListing("r1", listing);
  BOOST_TEST(subject.BusyMs("r1", now) == 100);
  fleet::task_step lasting = Step(1);
  lasting.long_running = true;
  AddJob("j2", {lasting});
  PlanAndAccept();
  BOOST_TEST(subject.BusyMs("r1", now) > 1000000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

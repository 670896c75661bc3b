#include <boost/test/unit_test.hpp>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

/// Two racks with one runner of two cores each. Tasks take 500 ms near their
/// data and 1,500 ms elsewhere.
struct scheduler_places_fixture : scheduler_fixture {
  scheduler_places_fixture() {
    subject.Places().speeds.SetInitialFactor(3);
    AddRackRunner("near1", "near");
    AddRackRunner("far1", "far");
    data = Step(1);
    data.data_rack = "near";
    gang = Step(2);
    gang.gang = true;
    gang.same_rack = true;
  }

  void AddRackRunner(const std::string& id, const std::string& rack) {
    AddRunner(id, 2000);
    fleet::runner_report report = subject.FindRunner(id)->report;
    report.rack = rack;
    subject.AddRunner(report);
  }

  /// Starts `count` tasks with data on the rack of `runner` and reports that
  /// they have run for `elapsed_ms`. Returns their start orders.
  std::vector<order> Fill(const std::string& runner, int count,
                          millis elapsed_ms) {
    fleet::task_step step = Step(count);
    step.data_rack = subject.FindRunner(runner)->report.rack;
    AddJob("fill-" + runner, {step});
    const std::vector<order> starts = PlanAndAccept();
    BOOST_REQUIRE_EQUAL(starts.size(), static_cast<std::size_t>(count));
    now += elapsed_ms;
    return starts;
  }

  /// Reports the end of the run that `start` began, and that the other runs of
  /// `all` on its runner continue.
  void End(const order& start, const std::vector<order>& all) {
    fleet::runner_listing listing = scheduler_fixture::End(
        ++end_number, start.task, start.run, fleet::run_end::kDone);
    for (const order& other : all) {
      if (other.runner != start.runner || other.task == start.task) continue;
      listing.running.push_back({other.task, other.run, "", 50, 0});
    }
    ReportListing(start.runner, listing);
  }

  /// Returns the runners of the start orders, joined by spaces.
  static std::string Runners(const std::vector<order>& orders) {
    std::string text;
    for (const order& given : orders) {
      text += (text.empty() ? "" : " ") + given.runner;
    }
    return text;
  }

  std::uint64_t end_number = 0;
  fleet::task_step data;  ///< One task with data on rack "near".
  fleet::task_step gang;  ///< Two tasks that run faster on one rack.
};

BOOST_FIXTURE_TEST_SUITE(scheduler_places, scheduler_places_fixture)

// Guards against a slow run elsewhere while room near the data is about to be
// free, and against a wait that nobody can see.
BOOST_AUTO_TEST_CASE(task_waits_for_room_that_is_due_near_its_data) {
  const auto filled = Fill("near1", 2, 450);
  AddJob("a", {data});
  BOOST_TEST(Plan().empty());
  bool reported = false;
  for (const scheduler_event& event : subject.TakeEvents()) {
    if (event.kind != event_kind::kPlaceWaitStarted) continue;
    reported = true;
    BOOST_TEST(event.task.job == "a");
    BOOST_TEST(event.runner == "near");
    BOOST_TEST(event.elapsed_ms > event.expected_ms);
  }
  BOOST_TEST(reported);
  now += 50;
  End(filled[0], filled);
  BOOST_TEST(Runners(Plan()) == "near1");
  const auto events = subject.TakeEvents();
  BOOST_TEST((std::ranges::count(events, event_kind::kPlaceWaitEnded,
                                 &scheduler_event::kind) == 1));
}

// Guards against a wait for room that comes too late to be worth it.
BOOST_AUTO_TEST_CASE(task_starts_elsewhere_if_the_room_comes_too_late) {
  fleet::task_step slow = Step(2);
  slow.estimate_ms = 5000;
  slow.data_rack = "near";
  AddJob("slow", {slow});
  PlanAndAccept();
  AddJob("a", {data});
  BOOST_TEST(Runners(Plan()) == "far1");
}

// Guards against tasks of a lower rank that take the room of a task whose place
// has none in time.
BOOST_AUTO_TEST_CASE(task_of_a_hot_rack_gets_the_first_free_core_elsewhere) {
  fleet::task_step slow = Step(2);
  slow.estimate_ms = 5000;
  slow.data_rack = "near";
  AddJob("slow", {slow});
  PlanAndAccept();
  const auto filled = Fill("far1", 2, 100);
  AddJob("a", {data});
  AddJob("b", {Step(8)});
  BOOST_TEST(Plan().empty());
  now += 50;
  End(filled[0], filled);
  const auto starts = Plan();
  BOOST_REQUIRE_EQUAL(starts.size(), 1u);
  BOOST_TEST(starts[0].task.job == "a");
}

// Guards against a wait of tasks whose place has free room, since another task
// of the step has failed there.
BOOST_AUTO_TEST_CASE(tasks_start_at_their_place_beside_one_that_failed_there) {
  data.count = 2;
  AddJob("a", {data});
  const auto first = PlanAndAccept();
  BOOST_REQUIRE(Runners(first) == "near1 near1");
  fleet::runner_listing listing = scheduler_fixture::End(
      1, first[0].task, first[0].run, fleet::run_end::kFailed);
  listing.ended.push_back(
      {2, first[1].task, first[1].run, fleet::run_end::kGangTimedOut, ""});
  ReportListing("near1", listing);
  const auto second = Plan();
  BOOST_TEST(second.size() == 2u);
  BOOST_TEST(Runners(second).ends_with("near1"));
}

// Guards against an endless wait for runs that take longer than expected, and
// against jobs that a wait makes late.
BOOST_AUTO_TEST_CASE(wait_for_an_overdue_run_ends_before_the_job_is_late) {
  Fill("near1", 2, 450);
  AddJob("a", {data});
  const millis accepted_at = now;
  std::vector<order> starts;
  while (starts.empty() && now < accepted_at + 5000) {
    starts = Plan();
    if (starts.empty()) now += 10;
  }
  BOOST_TEST(Runners(starts) == "far1");
  // The objective of 1,600 ms leaves a slack of 100 ms elsewhere.
  BOOST_TEST(now - accepted_at <= 100);
}

// Guards against waiting for a place that cannot be used any more.
BOOST_AUTO_TEST_CASE(wait_ends_at_once_when_the_place_is_lost) {
  Fill("near1", 2, 450);
  AddJob("a", {data});
  BOOST_TEST(Plan().empty());
  now += 10;
  subject.SetRunnerHolds({{"near1", hold_reason::kOpenOrder}});
  BOOST_TEST(Runners(Plan()) == "far1");
}

BOOST_AUTO_TEST_CASE(wait_ends_at_once_when_the_place_is_due_for_maintenance) {
  Fill("near1", 2, 450);
  AddJob("a", {data});
  BOOST_TEST(Plan().empty());
  now += 10;
  subject.SetMaintenanceDue({"near1"});
  BOOST_TEST(Runners(Plan()) == "far1");
}

// Guards against many tasks that wait for the same room.
BOOST_AUTO_TEST_CASE(tasks_beyond_what_the_place_can_carry_start_elsewhere) {
  Fill("near1", 2, 450);
  AddRackRunner("far2", "far");
  AddRackRunner("far3", "far");
  data.count = 10;
  AddJob("a", {data});
  const auto starts = Plan();
  BOOST_TEST(!starts.empty());
  BOOST_TEST(starts.size() < 10u);
  for (const order& given : starts) BOOST_TEST(given.runner != "near1");
}

// Guards against waiting tasks that keep room from others.
BOOST_AUTO_TEST_CASE(other_tasks_take_the_room_that_a_waiting_task_passes_up) {
  Fill("near1", 2, 450);
  AddJob("a", {data});
  AddJob("b", {Step(2)});
  BOOST_TEST(Runners(Plan()) == "far1 far1");
}

// Guards against indifferent tasks that take the last room of a wanted rack
// before the tasks with data there, and against leaving that room idle.
BOOST_AUTO_TEST_CASE(
    room_of_a_wanted_rack_goes_first_to_tasks_with_data_there) {
  const auto filled = Fill("near1", 2, 450);
  Fill("far1", 2, 0);
  data.count = 1;
  AddJob("a", {Step(1)});
  AddJob("b", {data});
  BOOST_TEST(Plan().empty());
  now += 50;
  End(filled[0], filled);
  const auto first = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(first.size(), 1u);
  BOOST_TEST(first[0].task.job == "b");
  End(filled[1], {first[0]});
  const auto second = Plan();
  BOOST_REQUIRE_EQUAL(second.size(), 1u);
  BOOST_TEST(second[0].task.job == "a");
}

// Guards against a rack that nobody leaves room on since the only task that
// asks for it was the first of the pass to find no runner.
BOOST_AUTO_TEST_CASE(first_task_without_a_runner_asks_for_its_rack) {
  const auto filled = Fill("near1", 2, 450);
  Fill("far1", 2, 0);
  AddJob("b", {data});
  BOOST_TEST(Plan().empty());
  AddJob("a", {Step(1)});
  End(filled[0], filled);
  const auto starts = Plan();
  BOOST_REQUIRE_EQUAL(starts.size(), 1u);
  BOOST_TEST(starts[0].task.job == "b");
}

// Guards against a new wait of the full length after each refused start.
BOOST_AUTO_TEST_CASE(refused_start_does_not_begin_another_wait) {
  AddRackRunner("far2", "far");
  Fill("near1", 2, 450);
  AddJob("a", {data});
  BOOST_TEST(Plan().empty());
  now += 110;
  const auto first = Plan();
  BOOST_REQUIRE_EQUAL(first.size(), 1u);
  subject.ApplyOrderOutcome(first[0],
                            fleet::order_outcome::kInsufficientCapacity, now);
  const auto second = Plan();
  BOOST_REQUIRE_EQUAL(second.size(), 1u);
  BOOST_TEST(second[0].runner != first[0].runner);
}

// Guards against learning from the last members of a spread gang as from runs
// at the place.
BOOST_AUTO_TEST_CASE(each_member_of_a_spread_gang_counts_as_away) {
  fleet::task_step slow = Step(1);
  slow.estimate_ms = 9000;
  slow.data_rack = "near";
  AddJob("slow", {slow});
  auto all = PlanAndAccept();
  gang.data_rack = "near";
  AddJob("g", {gang});
  const auto members = PlanAndAccept();
  BOOST_REQUIRE(Runners(members) == "near1 far1");
  all.insert(all.end(), members.begin(), members.end());
  now += 2000;  // Four times the expected run time.
  End(members[1], all);
  End(members[0], all);
  BOOST_TEST(subject.Places().speeds.RackSlowdown("near") == 1);
  const double after_one = 3 + 1 / 30.0;
  BOOST_TEST(subject.Places().speeds.AwayFactor("queue") ==
                 after_one + (4 - after_one) / 30,
             boost::test_tools::tolerance(1e-9));
}

// Guards against a cost for steps that name no place.
BOOST_AUTO_TEST_CASE(task_without_a_place_never_waits) {
  Fill("near1", 2, 450);
  AddJob("a", {Step(1)});
  BOOST_TEST(Runners(Plan()) == "far1");
}

// Guards against gangs that start on several racks although one has room.
BOOST_AUTO_TEST_CASE(gang_starts_on_the_one_rack_with_room_for_all) {
  AddRackRunner("near2", "near");
  fleet::task_step single = Step(1);
  single.data_rack = "far";
  AddJob("single", {single});
  PlanAndAccept();
  AddJob("g", {gang});
  for (const order& given : Plan()) {
    BOOST_TEST(subject.FindRunner(given.runner)->report.rack == "near");
  }
}

// Guards against gangs that start spread while a rack is about to have room for
// all, and against single tasks that take that room.
BOOST_AUTO_TEST_CASE(gang_waits_for_a_rack_and_singles_leave_it_free) {
  AddRackRunner("third1", "third");
  const auto near = Fill("near1", 1, 450);
  Fill("far1", 1, 0);
  const auto third = Fill("third1", 1, 0);
  AddJob("g", {gang});
  BOOST_TEST(Plan().empty());
  AddJob("single", {Step(1)});
  const auto single = PlanAndAccept();
  BOOST_REQUIRE_EQUAL(single.size(), 1u);
  BOOST_TEST(single[0].runner != "near1");
  now += 50;
  End(near[0], near);
  BOOST_TEST(Runners(Plan()) == "near1 near1");
}

BOOST_AUTO_TEST_CASE(gang_starts_spread_if_no_rack_has_room_in_time) {
  fleet::task_step slow = Step(1);
  slow.estimate_ms = 9000;
  for (const char* rack : {"near", "far"}) {
    slow.data_rack = rack;
    AddJob(std::string("slow-") + rack, {slow});
  }
  BOOST_TEST(PlanAndAccept().size() == 2u);
  AddJob("g", {gang});
  BOOST_TEST(Plan().size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

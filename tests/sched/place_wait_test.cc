#include "src/sched/place_wait.h"

#include <boost/test/unit_test.hpp>

#include "src/sched/place_speed_model.h"
#include "src/sched/room_forecast.h"

namespace radishwing::sched {
namespace {

struct place_wait_fixture {
  /// A task that takes 400 ms at its place and 1,000 ms elsewhere.
  place_wait_terms terms{
      .since = 1000, .near_ms = 400, .away_ms = 1000, .latest_start = 100000};
  static constexpr fleet::resources kCore{1000, 100, 0};
};

BOOST_FIXTURE_TEST_SUITE(place_wait, place_wait_fixture)

// Guards against a wait that costs more than the place saves.
BOOST_AUTO_TEST_CASE(wait_ends_when_it_has_cost_what_the_place_saves) {
  BOOST_TEST(PlaceWaitDeadline(terms) == 1600);
  terms.away_ms = 400;
  BOOST_TEST(PlaceWaitDeadline(terms) == 1000);
  terms.away_ms = 300;
  BOOST_TEST(PlaceWaitDeadline(terms) == 1000);
}

// Guards against a wait that makes a job late although a start elsewhere would
// have been in time.
BOOST_AUTO_TEST_CASE(job_in_time_elsewhere_waits_only_while_it_remains_so) {
  terms.latest_start = 2000;  // 1,150 elsewhere, with a margin of 250 ms.
  BOOST_TEST(PlaceWaitDeadline(terms) == 1150);
}

// Guards against a wait past the latest start elsewhere of a job that is in
// time there, but by less than the margin.
BOOST_AUTO_TEST_CASE(job_barely_in_time_elsewhere_is_not_made_late) {
  for (const millis slack : {249, 100, 1, 0}) {
    terms.latest_start = 1600 + slack;
    BOOST_TEST(PlaceWaitDeadline(terms) == 1000 + slack);
  }
}

// Guards against tasks without a place that become late since they leave room
// to others.
BOOST_AUTO_TEST_CASE(task_passes_up_room_only_while_it_remains_in_time) {
  BOOST_TEST(PassUpDeadline(terms) == 1600);
  terms.latest_start = 1500;  // 1,400 with a margin of 100 ms.
  BOOST_TEST(PassUpDeadline(terms) == 1400);
  for (const millis latest_start : {1100, 1050, 500}) {
    terms.latest_start = latest_start;
    BOOST_TEST(PassUpDeadline(terms) <= terms.since);
  }
}

// Guards against a late start elsewhere while the place may still be in time.
BOOST_AUTO_TEST_CASE(job_in_time_only_at_its_place_waits_for_it) {
  terms.latest_start = 1500;
  BOOST_TEST(PlaceWaitDeadline(terms) == 1500);
}

// Guards against late jobs that wait without a limit, or not at all.
BOOST_AUTO_TEST_CASE(late_job_waits_as_long_as_the_place_saves_time) {
  terms.latest_start = 500;
  BOOST_TEST(PlaceWaitDeadline(terms) == 1600);
}

// Guards against several tasks that all expect the same room.
BOOST_AUTO_TEST_CASE(each_booking_expects_room_of_its_own) {
  room_forecast forecast(0, {0, 1000, 0},
                         {{300, kCore}, {100, kCore}, {200, kCore}});
  BOOST_TEST(forecast.EarliestStart(kCore) == 100);
  BOOST_TEST(forecast.Book(kCore, 50) == 100);
  BOOST_TEST(forecast.Book(kCore, 500) == 150);
  BOOST_TEST(forecast.Book(kCore, 500) == 200);
  BOOST_TEST(forecast.EarliestStart({2000, 200, 0}) == 650);
  BOOST_TEST(forecast.EarliestStart({9000, 200, 0}) == room_forecast::kNever);
}

// Guards against a wait for a place that turns out to be slow, and against a
// factor from the settings that the fleet does not show.
BOOST_AUTO_TEST_CASE(speeds_follow_the_ends_of_runs) {
  place_speed_model speeds;
  speeds.SetInitialFactor(3);
  BOOST_TEST(speeds.AwayFactor("queue") == 3);
  for (int i = 0; i < 200; ++i) {
    speeds.AddAwaySample("queue", 400, 480);
    speeds.AddNearSample("rack", 400, 800);
  }
  BOOST_TEST(speeds.AwayFactor("queue") == 1.2,
             boost::test_tools::tolerance(0.02));
  BOOST_TEST(speeds.RackSlowdown("rack") == 2,
             boost::test_tools::tolerance(0.02));
  BOOST_TEST(speeds.AwayFactor("other queue") == 3);
  BOOST_TEST(speeds.RackSlowdown("other rack") == 1);
  for (int i = 0; i < 200; ++i) speeds.AddAwaySample("queue", 400, 40);
  BOOST_TEST(speeds.AwayFactor("queue") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

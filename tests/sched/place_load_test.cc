#include "tests/sched/place_load.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::sched {
namespace {

struct place_load_fixture {
  static place_load_result Play(const place_load& load,
                                const place_wait_policy& policy = {}) {
    place_load_result sum;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const place_load_result one =
          place_load_player(load, seed, policy).Play();
      BOOST_TEST(one.finished == one.jobs);
      sum.jobs += one.jobs;
      sum.in_time += one.in_time;
      sum.away_runs += one.away_runs;
      sum.longest_ms = std::max(sum.longest_ms, one.longest_ms);
    }
    return sum;
  }
};

BOOST_FIXTURE_TEST_SUITE(place_loads, place_load_fixture)

// Guards against callers who wait for slow runs away from their data.
BOOST_AUTO_TEST_CASE(even_load_ends_in_time_near_its_data) {
  const place_load load{.jobs_per_s = 64};
  const place_load_result waited = Play(load);
  const place_load_result unwaited = Play(load, NoWait());
  BOOST_TEST(waited.in_time > 95 * waited.jobs / 100);
  BOOST_TEST(waited.in_time >= unwaited.in_time);
  BOOST_TEST(waited.away_runs < unwaited.away_runs / 2);
}

// Guards against queues that grow at a rack that more tasks ask for than it can
// carry.
BOOST_AUTO_TEST_CASE(hot_rack_does_not_hold_up_its_tasks) {
  const place_load load{
      .jobs_per_s = 48, .remote_factor = 1.5, .hot_share = 0.9};
  const place_load_result waited = Play(load);
  BOOST_TEST(waited.in_time >= Play(load, NoWait()).in_time);
  BOOST_TEST(waited.in_time > 9 * waited.jobs / 10);
}

// Guards against waits for a rack on which tasks take longer than elsewhere.
BOOST_AUTO_TEST_CASE(slow_rack_is_waited_for_less_and_less) {
  const place_load load{.jobs_per_s = 40,
                        .remote_factor = 1.5,
                        .hot_share = 0.6,
                        .slow_rack_factor = 2.5};
  BOOST_TEST(Play(load).in_time >= Play(load, FixedWait(200)).in_time);
}

// Guards against tasks that wait for a rack that has failed.
BOOST_AUTO_TEST_CASE(lost_rack_is_not_waited_for) {
  const place_load load{.jobs_per_s = 32, .rack_lost_at = 4000};
  const place_load_result waited = Play(load);
  const place_load_result unwaited = Play(load, NoWait());
  BOOST_TEST(waited.in_time >= unwaited.in_time);
  BOOST_TEST(waited.longest_ms <= unwaited.longest_ms + 1000);
}

// Guards against waits that lower what a full pool serves, and against tasks
// that starve while they wait.
BOOST_AUTO_TEST_CASE(overloaded_pool_serves_no_less) {
  const place_load load{.jobs_per_s = 104, .length_ms = 6000};
  const place_load_result waited = Play(load);
  const place_load_result unwaited = Play(load, NoWait());
  BOOST_TEST(waited.in_time > unwaited.in_time);
  BOOST_TEST(waited.longest_ms <= unwaited.longest_ms);
}

// Guards against a successor that decides on what it does not know: it has
// neither the learned speeds nor the start times of the runs.
BOOST_AUTO_TEST_CASE(successor_serves_as_well_without_the_estimates) {
  place_load load{.jobs_per_s = 64, .length_ms = 6000};
  const place_load_result undisturbed = Play(load);
  load.successor_at = 3000;
  BOOST_TEST(Play(load).in_time >= 95 * undisturbed.in_time / 100);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

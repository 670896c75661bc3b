#include "src/sched/host_pause.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::sched {
namespace {

struct host_pause_fixture {
  /// Returns the state of a listed runner.
  runner_state Runner(millis started_at) {
    runner_state runner;
    runner.listed = true;
    runner.started_at = started_at;
    return runner;
  }

  host_pause subject{10000, 3300};
};

BOOST_FIXTURE_TEST_SUITE(host_pause_between_holders, host_pause_fixture)

BOOST_AUTO_TEST_CASE(host_with_an_old_runner_needs_no_pause) {
  const runner_state runner = Runner(5000);
  BOOST_TEST(subject.HasElapsed(8500, &runner));
}

// Guards against an order to a host within the pause after the last order of
// the previous host controller. A runner that started recently may mean that
// the previous controller has just moved the host.
BOOST_AUTO_TEST_CASE(host_with_a_new_runner_waits_for_the_pause) {
  const runner_state runner = Runner(7000);
  BOOST_TEST(!subject.HasElapsed(8500, &runner));
  BOOST_TEST(subject.HasElapsed(10000, &runner));
}

BOOST_AUTO_TEST_CASE(host_without_a_listed_runner_waits_for_the_pause) {
  runner_state runner = Runner(0);
  runner.listed = false;
  BOOST_TEST(!subject.HasElapsed(8500, &runner));
  BOOST_TEST(!subject.HasElapsed(8500, nullptr));
  BOOST_TEST(subject.HasElapsed(10000, nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

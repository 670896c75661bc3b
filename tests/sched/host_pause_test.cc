#include "src/sched/host_pause.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::sched {
namespace {

struct host_pause_fixture {
  runner_state Runner(millis started_at) {
    runner_state runner;
    runner.listed = true;
    runner.started_at = started_at;
    return runner;
  }

  host_pause subject{10000, 3300};
};

BOOST_FIXTURE_TEST_SUITE(host_pause_between_holders, host_pause_fixture)

BOOST_AUTO_TEST_CASE(host_with_an_old_runner_may_be_ordered_at_once) {
  const runner_state runner = Runner(5000);
  BOOST_TEST(subject.Elapsed(8500, &runner));
}

// Guards against ordering a host within the pause after the previous lease
// holder's last order: a recently started runner may mean that the previous
// holder has just moved the host.
BOOST_AUTO_TEST_CASE(host_with_a_new_runner_waits_for_the_pause) {
  const runner_state runner = Runner(7000);
  BOOST_TEST(!subject.Elapsed(8500, &runner));
  BOOST_TEST(subject.Elapsed(10000, &runner));
}

BOOST_AUTO_TEST_CASE(host_without_a_listed_runner_waits_for_the_pause) {
  runner_state runner = Runner(0);
  runner.listed = false;
  BOOST_TEST(!subject.Elapsed(8500, &runner));
  BOOST_TEST(!subject.Elapsed(8500, nullptr));
  BOOST_TEST(subject.Elapsed(10000, nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

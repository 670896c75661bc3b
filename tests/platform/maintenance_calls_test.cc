#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/platform/platform_fixture.h"

namespace radishwing::platform {
namespace {

using platform_fake::fault_mode;

// Guards against a second task, or a task believed not to run, after a lost
// answer.
BOOST_FIXTURE_TEST_CASE(task_client_lost_answer_starts_once, platform_fixture) {
  const task_spec spec{.id = "t1", .host = "h1", .cores = 2};
  Fault(fault_mode::kLoseAnswers, 1);
  const auto started =
      Await<start_outcome>([&](auto done) { tasks->Start(spec, done); });
  BOOST_TEST((started.state == start_state::kStarted));
  BOOST_TEST(fake->Tasks().Running() == 1u);
  auto large = spec;
  large.id = "t2";
  large.cores = 15;
  const auto refused =
      Await<start_outcome>([&](auto done) { tasks->Start(large, done); });
  BOOST_TEST((refused.state == start_state::kRefused));
}

// Guards against a task without a lease being taken for one that ended.
BOOST_FIXTURE_TEST_CASE(task_client_lapsed_until_worker_reports,
                        platform_fixture) {
  const task_spec spec{.id = "t1", .host = "h1", .lease_ms = 500};
  Await<start_outcome>([&](auto done) { tasks->Start(spec, done); });
  const auto state = [&] {
    const auto got =
        Await<result<task_status>>([&](auto done) { tasks->Get("t1", done); });
    return Value(got).state;
  };
  BOOST_TEST((state() == task_state::kRunning));
  time.Advance(600);
  BOOST_TEST((state() == task_state::kLapsed));
  const auto renewed =
      Await<result<done>>([&](auto done) { tasks->Renew("t1", done); });
  BOOST_TEST((Error(renewed).kind == failure_kind::kConflict));
  time.Advance(600);
  BOOST_TEST((state() == task_state::kFinished));
}

// Guards against a second reboot of a host whose reboot was not acknowledged.
BOOST_FIXTURE_TEST_CASE(host_client_lost_reboot_is_not_repeated,
                        platform_fixture) {
  Fault(fault_mode::kLoseAnswers, 1);
  const auto rebooted =
      Await<result<done>>([&](auto done) { hosts->Reboot("h1", done); });
  BOOST_TEST(Ok(rebooted));
  BOOST_TEST(fake->Calls("host_change") == 1u);
  Fault(fault_mode::kLoseAnswers, 1);
  std::optional<result<done>> second;
  hosts->Reboot("h2", [&](result<done> r) { second = std::move(r); });
  RunUntil([&] { return fake->Calls("host_change") == 2; });
  time.Advance(10000);  // The reboot is over before the state is read.
  RunUntil([&] { return second.has_value(); });
  BOOST_TEST((Error(*second).kind == failure_kind::kTimeout));
  BOOST_TEST(fake->Calls("host_change") == 2u);
}

// Guards against a leaving host that the live list shows as live, or that is
// shown before its time.
BOOST_FIXTURE_TEST_CASE(live_list_lags_behind, platform_fixture) {
  fake_options.lag_ms = 1000;
  Restart();
  Await<result<done>>([&](auto done) { hosts->Drain("h1", done); });
  const auto leaving = [&] {
    const auto got =
        Await<result<live_list>>([&](auto done) { live->Get(done); });
    return Value(got).hosts.at(0).leaving;
  };
  BOOST_TEST(!leaving());
  time.Advance(1000);
  BOOST_TEST(leaving());
}

}  // namespace
}  // namespace radishwing::platform

#include "src/control/duty_lease.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

namespace radishwing::control {
namespace {

// A store with one key, which replies at once.
struct duty_lease_fixture {
  duty_lease_fixture() {
    seam.get = [this](std::string key, auto reply) {
      using value = std::optional<stored_value>;
      reply(held_by.empty() ? value() : value({key, held_by, 1, false}));
    };
    seam.put = [this](std::string key, std::string value, std::uint64_t,
                      std::string, auto reply) {
      held_by = value;
      if (lose_answer) {
        reply(failure{failure_kind::kTimeout, "lost"});
      } else {
        reply(put_answer{true, {key, value, 1, false}});
      }
    };
    seam.grant_lease = [](millis, auto reply) { reply(std::string("1")); };
    seam.renew_lease = [](std::string, auto reply) { reply(done()); };
    seam.drop_lease = [](std::string, auto reply) { reply(done()); };
  }

  kj::AsyncIoContext io = kj::setupAsyncIo();
  manual_clock time{1000};
  control_timing timing;
  platform_seam seam;
  std::string held_by;
  bool lose_answer = false;
};

// Guards against a holder that was paused past its lease and acts on it when
// it wakes, before it has spoken to the store.
BOOST_FIXTURE_TEST_CASE(duty_lease_paused_holder_gives_up_on_waking,
                        duty_lease_fixture) {
  kj::Timer& timer = io.provider->getTimer();
  store_port store(timer, time.View(), timing, seam, [](auto t) { t(); });
  duty_lease lease(timer, time.View(), timing, store, "lease/duty", "a#1");
  std::vector<bool> changes;
  lease.on_change = [&](bool held) { changes.push_back(held); };
  auto running = lease.Run().eagerlyEvaluate(nullptr);
  io.waitScope.poll();
  BOOST_TEST(lease.Held());
  time.Advance(timing.lease_ttl_ms);
  held_by = "another holder";
  BOOST_TEST(!lease.Held());
  BOOST_TEST(changes == (std::vector<bool>{true, false}),
             boost::test_tools::per_element());
}

// Guards against a duty that nobody does because the answer to the write that
// gained it was lost.
BOOST_FIXTURE_TEST_CASE(duty_lease_lost_answer_is_recognised_as_own,
                        duty_lease_fixture) {
  lose_answer = true;
  kj::Timer& timer = io.provider->getTimer();
  store_port store(timer, time.View(), timing, seam, [](auto t) { t(); });
  duty_lease lease(timer, time.View(), timing, store, "lease/duty", "a#1");
  auto running = lease.Run().eagerlyEvaluate(nullptr);
  io.waitScope.poll();
  BOOST_TEST(lease.Held());
}

}  // namespace
}  // namespace radishwing::control

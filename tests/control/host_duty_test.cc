#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/control/host_fixture.h"

namespace radishwing::control {
namespace {

using verb = host_order::verb;

BOOST_FIXTURE_TEST_SUITE(host_duty, host_fixture)

// Guards against hosts in no pool or in the wrong one, and against an order
// through a control of another data centre that is lost.
BOOST_AUTO_TEST_CASE(order_through_any_control_drains_and_returns_the_host) {
  BOOST_REQUIRE(Adopted());
  BOOST_TEST(Pool("text0") == "text");
  BOOST_TEST(Pool("spare0") == "spare");
  BOOST_REQUIRE(Order("ctl-two", {"text0", verb::kDrain, "", "c1"}));
  BOOST_TEST(Eventually([&] { return State("text0") == "empty"; }));
  BOOST_TEST(Available("text") == 2);
  BOOST_REQUIRE(Order("ctl-two", {"text0", verb::kMove, "spare", "c2"}));
  BOOST_TEST(Eventually([&] {
    return Pool("text0") == "spare" && State("text0") == "active" &&
           Available("text") == 2 && Available("spare") == 2;
  }));
  BOOST_REQUIRE(Order("ctl-one", {"text1", verb::kDrain, "", "c3"}));
  BOOST_TEST(Eventually([&] { return State("text1") == "empty"; }));
  BOOST_REQUIRE(Order("ctl-one", {"text1", verb::kReturn, "", "c4"}));
  BOOST_TEST(Eventually(
      [&] { return State("text1") == "active" && Available("text") == 2; }));
}

// Guards against telling an operator that a host does not exist while only its
// record is missing, as in the first seconds of a deployment.
BOOST_AUTO_TEST_CASE(order_without_a_record_asks_to_try_again) {
  store.SetLive({}, {{"far0", "dcc", "rack-9", 16, 65536, 0}});
  BOOST_TEST(Eventually([&] {
    auto answer = Send("ctl-one", {"far0", verb::kDrain, "", "c1"});
    return !Ok(answer) && Error(answer).kind == failure_kind::kUnavailable;
  }));
  auto answer = Send("ctl-one", {"nowhere", verb::kDrain, "", "c2"});
  BOOST_REQUIRE(!Ok(answer));
  BOOST_TEST((Error(answer).kind == failure_kind::kNotFound));
}

// Guards against a stop under requests of an entry that cannot be asked.
BOOST_AUTO_TEST_CASE(unconfirmed_member_keeps_the_host_draining) {
  BOOST_REQUIRE(Adopted());
  network.Isolate("ctl-two");
  BOOST_REQUIRE(Order("ctl-one", {"text0", verb::kDrain, "", "c1"}));
  BOOST_REQUIRE(Eventually(
      [&] { return Note("ctl-one", "text0") == "not confirmed by ctl-two"; }));
  BOOST_REQUIRE(
      Eventually([&] { return Sees("ctl-one", "ctl-two") == "failed"; }));
  BOOST_TEST(State("text0") == "draining");
  network.Join("ctl-two");
  entries["ctl-one"]->busy_host = "text0";
  entries["ctl-one"]->in_flight = 1;
  BOOST_REQUIRE(Eventually(
      [&] { return Note("ctl-one", "text0") == "not confirmed by ctl-one"; }));
  entries["ctl-one"]->in_flight = 0;
  BOOST_TEST(Eventually([&] { return State("text0") == "empty"; }));
}

// Guards against stops by a data centre that cannot know whether they are
// allowed.
BOOST_AUTO_TEST_CASE(cut_off_data_centre_starts_no_drain) {
  BOOST_REQUIRE(Adopted());
  store.Write(OrderKey("dca", "text0"),
              FormatOrderRecord({{"text0", verb::kDrain, "", "c1"}, true}));
  BOOST_REQUIRE(Eventually([&] { return State("text0") == "empty"; }));
  auto cut = std::make_shared<std::atomic<bool>>(true);
  auto asked = std::make_shared<std::atomic<int>>(0);
  Get("ctl-one").Inspect([&](control_core& core) {
    core.HostDuty().cut_off_ms = [cut, asked]() -> millis {
      ++*asked;
      return *cut ? 1000 : 0;
    };
  });
  store.Write(OrderKey("dca", "text1"),
              FormatOrderRecord({{"text1", verb::kDrain, "", "c2"}, true}));
  BOOST_REQUIRE(Eventually([&] { return Note("ctl-one", "text1") != ""; }));
  const int before = *asked;
  BOOST_REQUIRE(Eventually([&] { return *asked > before + 4; }));
  BOOST_TEST(State("text1") == "active");
  *cut = false;
  BOOST_TEST(Eventually([&] { return State("text1") == "empty"; }));
}

// Guards against a drain that is lost or done twice when the store goes away
// in its middle.
BOOST_AUTO_TEST_CASE(store_down_in_a_drain_delays_it_only) {
  BOOST_REQUIRE(Adopted());
  entries["ctl-two"]->busy_host = "text0";
  entries["ctl-two"]->in_flight = 1;
  BOOST_REQUIRE(Order("ctl-one", {"text0", verb::kDrain, "", "c1"}));
  BOOST_REQUIRE(Eventually([&] { return State("text0") == "draining"; }));
  store.SetFaultForAll(fake_store::fault::kDown);
  entries["ctl-two"]->in_flight = 0;
  BOOST_REQUIRE(Eventually([&] {
    bool held = true;
    Get("ctl-one").Inspect(
        [&](control_core& core) { held = core.HostDuty().Held(); });
    return !held;
  }));
  BOOST_TEST(State("text0") == "draining");
  store.SetFaultForAll(fake_store::fault::kNone);
  BOOST_TEST(Eventually([&] { return State("text0") == "empty"; }));
  BOOST_TEST(Available("text") == 2);
}

// Guards against failed hosts that count as available, for the floor, and
// against recovered ones that do not.
BOOST_AUTO_TEST_CASE(failed_host_is_entered_and_returns) {
  BOOST_REQUIRE(Adopted());
  SetHosts("text1");
  BOOST_TEST(Eventually(
      [&] { return State("text1") == "failed" && Available("text") == 2; }));
  SetHosts();
  BOOST_TEST(Eventually(
      [&] { return State("text1") == "active" && Available("text") == 3; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::control

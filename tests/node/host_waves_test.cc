#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "platform/store_keys.h"
#include "tests/node/host_controller_fixture.h"

namespace radishwing::node {
namespace {

/// Waves whose hosts are not all in the lists of the hosts.
struct host_waves_fixture : host_controller_fixture {
  void AddWave(std::vector<std::string> names) {
    subject->AddWave({.number = 1,
                      .hosts = std::move(names),
                      .time_limit_ms = kTimeLimitMs,
                      .max_down = 2});
  }

  /// Returns true if the operator was told that the wave has succeeded.
  bool IsReportedAsSucceeded() const {
    return store.Value(platform::WaveStateKey(1)).find("succeeded") !=
           std::string::npos;
  }

  /// Ticks until the service has an order, and accepts all orders.
  void AcceptOrders() {
    for (int i = 0; i < kMaxTicks && orders.empty(); ++i) Tick();
    BOOST_REQUIRE(!orders.empty());
    AnswerOrders(200);
  }

  void AwaitSuccess() {
    for (int i = 0; i < kMaxTicks && !IsReportedAsSucceeded(); ++i) Tick();
    BOOST_REQUIRE(IsReportedAsSucceeded());
  }

  static constexpr millis kTimeLimitMs = 20000;
  static constexpr int kMaxTicks = 60;
};

BOOST_FIXTURE_TEST_SUITE(host_waves, host_waves_fixture)

// Guards against a wave that is reported as succeeded although the maintenance
// of a host never began: the host was added after the last list of the hosts,
// before an outage of the host service.
BOOST_AUTO_TEST_CASE(host_added_after_the_last_list_gets_its_maintenance) {
  Tick();
  hold_lists = true;
  time.Advance(kListIntervalMs);
  subject->Tick();
  RunUntil([&] { return !held_lists.empty(); });
  const auto old_list = HostList();
  hosts["h5"] = {.runner = "r-h5"};
  AddWave({"h5"});
  for (int i = 0; i < 4; ++i) {
    time.Advance(kListIntervalMs);
    subject->Tick();
    RunRoundTrips();
  }
  BOOST_TEST(!IsReportedAsSucceeded());
  // This list was requested before the wave.
  hold_lists = false;
  const int lists_before = lists;
  held_lists[0](http::MakeJsonResponse(200, old_list));
  RunUntil([&] { return lists > lists_before; });
  subject->Tick();
  RunRoundTrips();
  BOOST_TEST(!IsReportedAsSucceeded());
  AcceptOrders();
  BOOST_TEST(ordered_hosts == std::vector<std::string>{"h5"},
             boost::test_tools::per_element());
  AwaitSuccess();
}

// Guards against the same for a host that appears in the lists only after
// several of them.
BOOST_AUTO_TEST_CASE(host_that_is_listed_late_gets_its_maintenance) {
  AddWave({"h1", "h5"});
  AcceptOrders();
  for (int i = 0; i < 4; ++i) Tick();
  BOOST_TEST(!IsReportedAsSucceeded());
  hosts["h5"] = {.runner = "r-h5"};
  AcceptOrders();
  AwaitSuccess();
  BOOST_TEST(ordered_hosts == (std::vector<std::string>{"h1", "h5"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(host_that_left_does_not_hold_its_wave) {
  permitted = false;
  AddWave({"h1", "h2"});
  Tick();
  hosts.erase("h2");
  permitted = true;
  const millis begin = time.Now();
  AcceptOrders();
  AwaitSuccess();
  BOOST_TEST(time.Now() - begin < kTimeLimitMs / 2);
}

// Guards against a wave that a mistyped name of a host holds for ever.
BOOST_AUTO_TEST_CASE(host_that_is_never_listed_holds_its_wave_for_its_limit) {
  AddWave({"h1", "h9"});
  const millis begin = time.Now();
  AcceptOrders();
  while (time.Now() - begin < kTimeLimitMs) {
    BOOST_TEST(!IsReportedAsSucceeded());
    Tick();
  }
  for (int i = 0; i < 4; ++i) Tick();
  BOOST_TEST(IsReportedAsSucceeded());
}

// Guards against a successor that waits for a host that left in an earlier
// term.
BOOST_AUTO_TEST_CASE(successor_knows_which_hosts_were_listed) {
  AddWave({"h1", "h2"});
  while (orders.empty()) Tick();
  orders.clear();
  hosts.erase("h2");
  StartTerm();
  AddWave({"h1", "h2"});
  const millis begin = time.Now();
  AcceptOrders();
  AwaitSuccess();
  BOOST_TEST(time.Now() - begin < kTimeLimitMs / 2);
}

// Guards against a wave that is not looked at any more once it was reported.
BOOST_AUTO_TEST_CASE(host_that_returns_in_time_gets_its_maintenance) {
  permitted = false;
  AddWave({"h1", "h2"});
  Tick();
  Tick();
  hosts.erase("h2");
  Tick();
  permitted = true;
  AcceptOrders();
  AwaitSuccess();
  hosts["h2"] = {.runner = "r-h2"};
  AcceptOrders();
  BOOST_TEST(ordered_hosts == (std::vector<std::string>{"h1", "h2"}),
             boost::test_tools::per_element());
  AwaitSuccess();
}

// Guards against a host that is down for maintenance and does not count as down
// because a list from before its order does not have it.
BOOST_AUTO_TEST_CASE(list_from_before_the_order_frees_no_place_in_the_wave) {
  AddWaveOfTwo();
  while (orders.empty()) Tick();
  hold_lists = true;
  time.Advance(kListIntervalMs);
  subject->Tick();
  RunUntil([&] { return !held_lists.empty(); });
  time.Advance(1);
  orders[0](http::MakeJsonResponse(200, boost::json::object{}));
  orders.clear();
  RunRoundTrips();
  auto list = HostList();
  list["machines"].as_array().erase(list["machines"].as_array().begin());
  const int lists_before = lists;
  held_lists[0](http::MakeJsonResponse(200, list));
  RunUntil([&] { return lists > lists_before; });
  for (int i = 0; i < 3; ++i) {
    subject->Tick();
    RunRoundTrips();
  }
  BOOST_TEST(orders.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

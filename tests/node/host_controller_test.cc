#include "src/node/host_controller.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/node/host_controller_fixture.h"

namespace radishwing::node {
namespace {

BOOST_FIXTURE_TEST_SUITE(host_controller_orders, host_controller_fixture)

// Guards against a leader that cannot renew its lease and orders hosts while
// its successor does so, on a platform that does not check fencing tokens.
BOOST_AUTO_TEST_CASE(host_is_not_ordered_without_permission) {
  AddWaitingJob();
  permitted = false;
  for (int i = 0; i < 4; ++i) Tick();
  BOOST_TEST(orders.empty());
  permitted = true;
  Tick();
  RunUntil([&] { return !orders.empty(); });
}

// Guards against an order that waits for a connection to the host service while
// the permission ends. The service has all connections of the client in use.
BOOST_AUTO_TEST_CASE(order_waiting_for_a_connection_ends_with_the_permission) {
  AddWaitingJob();
  Tick();
  Tick();
  RunUntil([&] { return orders.size() == kConnections; });
  permitted = false;
  const auto answered = std::move(orders);
  orders.clear();
  for (const auto& respond : answered) {
    respond(http::MakeJsonResponse(200, boost::json::object{}));
  }
  Tick();
  BOOST_TEST(orders.empty());
}

// Guards against taking a host down because a list of the hosts was requested,
// but has not arrived, since another host of the wave went down.
BOOST_AUTO_TEST_CASE(wave_keeps_its_limit_while_a_list_is_unanswered) {
  subject->AddWave({.number = 1,
                    .hosts = {"h1", "h2"},
                    .time_limit_ms = 20000,
                    .max_down = 1});
  while (orders.empty()) Tick();
  orders[0](http::MakeJsonResponse(200, boost::json::object{}));
  Tick();
  orders.clear();
  hold_lists = true;
  time.Advance(context->settings.maintenance_ms + kListIntervalMs);
  subject->Tick();  // Requests the list that the service holds.
  RunUntil([&] { return !held_lists.empty(); });
  subject->Tick();
  // A round trip to the service: an order sent by now would have arrived.
  hold_lists = false;
  held_lists[0](http::MakeJsonResponse(200, HostList()));
  const int lists_before = lists;
  RunUntil([&] { return lists > lists_before; });
  BOOST_TEST(orders.empty());
  Tick();
  RunUntil([&] { return orders.size() == 1; });
}

// A host with long-running tasks drains beside the hosts that the limit permits
// to go down.
BOOST_AUTO_TEST_CASE(wave_keeps_its_limit_while_an_order_is_unanswered) {
  RunLongRunningTaskOn("r-h2");
  AddWaveOfTwo();
  while (orders.empty()) Tick();
  EndTaskOn("r-h2");
  AnswerOrders(500);
  for (int i = 0; i < 4; ++i) Tick();
  BOOST_TEST(ordered_hosts == (std::vector<std::string>{"h1", "h1"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(wave_goes_on_once_a_repeated_order_is_accepted) {
  AddWaveOfTwo();
  while (orders.empty()) Tick();
  AnswerOrders(500);
  while (orders.empty()) Tick();
  AnswerOrders(200);
  time.Advance(context->settings.maintenance_ms);
  while (orders.empty()) Tick();
  BOOST_TEST(ordered_hosts == (std::vector<std::string>{"h1", "h1", "h2"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(wave_keeps_its_limit_for_orders_of_the_predecessor) {
  AddWaveOfTwo();
  while (orders.empty()) Tick();
  orders.clear();
  ordered_hosts.clear();
  StartTerm();
  subject->AddWave({.number = 1,
                    .hosts = {"h2", "h1"},
                    .time_limit_ms = 20000,
                    .max_down = 1});
  for (int i = 0; i < 6; ++i) Tick();
  BOOST_TEST(ordered_hosts == std::vector<std::string>{"h1"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(order_is_not_sent_before_the_store_has_it) {
  AddWaveOfTwo();
  Tick();
  store.SetUnavailable(true);
  for (int i = 0; i < 4; ++i) TickUntilListed();
  BOOST_TEST(ordered_hosts.empty());
}

// Guards against an order that is carried out after a later one for the host.
BOOST_AUTO_TEST_CASE(repeated_order_has_a_higher_fencing_token) {
  AddWaveOfTwo();
  while (orders.empty()) Tick();
  AnswerOrders(500);
  while (orders.empty()) Tick();
  BOOST_TEST(tokens.size() == 2u);
  BOOST_TEST(tokens[1] > tokens[0]);
}

BOOST_AUTO_TEST_CASE(unanswered_move_is_repeated_until_it_is_accepted) {
  AddWaitingJob(1);
  while (orders.empty()) Tick();
  AnswerOrders(500);
  for (int i = 0; i < 3; ++i) Tick();
  BOOST_TEST(std::ranges::count(ordered_hosts, "h1") == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

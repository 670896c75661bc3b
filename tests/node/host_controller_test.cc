#include "src/node/host_controller.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "src/http/server.h"

namespace radishwing::node {
namespace {

/// A host controller, a fake host service with four hosts in standby, and a
/// scheduler whose only pool has waiting tasks and no runner. The controller
/// reads the time of `time`.
struct host_controller_fixture {
  host_controller_fixture() {
    http::server_options options;
    options.address = "127.0.0.1:0";
    service = Value(http::server::Make(
        io, options, [this](const http::server_request& request, auto respond) {
          if (request.target.path == "/machines") {
            return respond(http::MakeJsonResponse(200, HostList()));
          }
          orders.push_back(std::move(respond));
        }));
    fleet::node_settings settings;
    settings.name = "n1";
    settings.host_api_address = service->Address();
    context = std::make_unique<node_context>(io, settings);
    context->now = time.AsClock();
    auto config = std::make_shared<fleet::fleet_config>();
    config->pools = {{"pool", false, false}, {"off", false, true}};
    context->config = config;
    scheduler.SetConfig(*config);
    AddWaitingJob();
    host_controller_hooks hooks;
    hooks.runner_ended = [](const std::string&) {};
    hooks.hosts_listed = [this](const auto&, millis) { ++lists; };
    hooks.may_order_hosts = [this] { return permitted; };
    subject = std::make_unique<host_controller>(*context, election{.term = 1},
                                                scheduler, std::move(hooks));
  }

  static boost::json::object HostList() {
    boost::json::array hosts;
    for (const char* name : {"h1", "h2", "h3", "h4"}) {
      hosts.push_back({{"machine", name},
                       {"pool", "off"},
                       {"state", "up"},
                       {"free-resources", boost::json::object{{"cpu", 4000}}}});
    }
    return {{"machines", hosts}};
  }

  void AddWaitingJob() {
    fleet::job_record record;
    record.id = "00000000000000a1";
    record.pool = "pool";
    fleet::task_step step;
    step.count = 100;
    step.needs = {4000, 100, 0};
    step.estimate_ms = 1000;
    record.request.steps = {step};
    scheduler.AddJob(std::move(record), false, 0, 0);
    scheduler.Plan(0, 0);
  }

  /// Ticks the controller when its next list of the hosts is due, and runs the
  /// event loop until the list has arrived. An order that the controller sent
  /// before the list has then arrived as well.
  void Tick() {
    const int lists_before = lists;
    time.Advance(kListIntervalMs);
    subject->Tick();
    RunUntil([&] { return lists > lists_before; });
  }

  /// Runs the event loop until `ready` returns true. Throws after 20 s; only a
  /// hanging test takes that long.
  template <typename Ready>
  void RunUntil(Ready ready) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!ready()) {
      if (std::chrono::steady_clock::now() > end) {
        throw std::runtime_error("the expected condition did not become true");
      }
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
  }

  static constexpr millis kListIntervalMs = 500;
  /// Number of connections that the controller opens to the host service.
  static constexpr std::size_t kConnections = 3;

  boost::asio::io_context io{1};
  manual_clock time{100000};
  std::unique_ptr<http::server> service;
  std::unique_ptr<node_context> context;
  sched::scheduler scheduler{1};
  bool permitted = true;  ///< Result of the may_order_hosts hook.
  int lists = 0;          ///< Number of lists of the hosts received.
  /// Responders of the orders that the service has received.
  std::vector<http::server::responder> orders;
  std::unique_ptr<host_controller> subject;
};

BOOST_FIXTURE_TEST_SUITE(host_controller_orders, host_controller_fixture)

// Guards against a leader that cannot renew its lease and orders hosts while
// its successor does so, on a platform that does not check fencing tokens.
BOOST_AUTO_TEST_CASE(host_is_not_ordered_without_permission) {
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

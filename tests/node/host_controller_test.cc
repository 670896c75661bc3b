#include "src/node/host_controller.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "src/http/server.h"
#include "src/node/record_keys.h"
#include "tests/http/http_fixture.h"
#include "tools/fleet_fake/fake_store.h"

namespace radishwing::node {
namespace {

/// A host controller, a fake host service with four hosts in standby, a fake
/// store, and a scheduler whose only pool has no runner. The controller reads
/// the time of `time`.
struct host_controller_fixture : http::http_fixture {
  host_controller_fixture() {
    http::server_options options;
    options.address = "127.0.0.1:0";
    service = Value(http::server::Make(
        io, options, [this](const http::server_request& request, auto respond) {
          if (request.target.path == "/machines") {
            if (hold_lists) return held_lists.push_back(std::move(respond));
            return respond(http::MakeJsonResponse(200, HostList()));
          }
          if (request.target.path == "/probe") return respond({});
          ordered_hosts.push_back(HostOf(request));
          tokens.push_back(
              std::stoull(std::string(request.HeaderValue("Fencing-Token"))));
          orders.push_back(std::move(respond));
        }));
    test_client_options.address = service->Address();
    probe = Value(http::client::Make(io, test_client_options));
    fleet::node_settings settings;
    settings.name = "n1";
    settings.host_api_address = service->Address();
    context = std::make_unique<node_context>(io, settings);
    context->now = time.AsClock();
    auto config = std::make_shared<fleet::fleet_config>();
    config->pools = {{"pool", false, false}, {"off", false, true}};
    context->config = config;
    scheduler.SetConfig(*config);
    hooks.runner_ended = [](const std::string&) {};
    hooks.hosts_listed = [this](const auto&, millis) { ++lists; };
    hooks.may_order_hosts = [this] { return permitted; };
    hooks.orders_loaded = [] {};
    platform::store_client::hooks store_hooks;
    store_hooks.relay = [](auto, const auto&) {};
    store_hooks.observe = [](const auto&) {};
    context->store =
        Value(platform::store_client::Make(io, store.Address(), store_hooks));
    store.Put(ShardKey(), "n1");
    StartTerm();
  }

  /// Replaces the controller by one of a new term.
  void StartTerm() {
    election won{.term = 1};
    won.fencing_token = StoredRevision(ShardKey());
    subject =
        std::make_unique<host_controller>(*context, won, scheduler, hooks);
  }

  static std::string HostOf(const http::server_request& request) {
    return boost::json::parse(request.body).at("machine").as_string().c_str();
  }

  /// Answers all orders that were received, as the host service does after it
  /// has carried them out, or with an error that leaves it open whether it did.
  void AnswerOrders(int status) {
    for (const auto& respond : std::exchange(orders, {})) {
      respond(http::MakeJsonResponse(static_cast<unsigned>(status),
                                     boost::json::object{}));
    }
    Tick();
  }

  /// Adds a wave with the hosts h1 and h2, of which one may be down at once.
  void AddWaveOfTwo() {
    subject->AddWave({.number = 1,
                      .hosts = {"h1", "h2"},
                      .time_limit_ms = 20000,
                      .max_down = 1});
  }

  std::uint64_t StoredRevision(const std::string& key) {
    std::uint64_t revision = 0;
    context->store->Get(key, [&](const result<store::store_item>& item) {
      revision = Value(item).revision;
    });
    RunUntil([&] { return revision != 0; });
    return revision;
  }

  static boost::json::object HostList() {
    boost::json::array hosts;
    for (const char* name : {"h1", "h2", "h3", "h4"}) {
      hosts.push_back({{"machine", name},
                       {"pool", "off"},
                       {"state", "up"},
                       {"id", std::string("r-") + name},
                       {"free-resources", boost::json::object{{"cpu", 4000}}}});
    }
    return {{"machines", hosts}};
  }

  /// Adds a job whose waiting tasks request hosts for its pool, by default all.
  void AddWaitingJob(int tasks = 100) {
    fleet::job_record record;
    record.id = "00000000000000a1";
    record.pool = "pool";
    fleet::task_step step;
    step.count = tasks;
    step.needs = {4000, 100, 0};
    step.estimate_ms = 1000;
    record.request.steps = {step};
    scheduler.AddJob(std::move(record), false, 0, 0);
    scheduler.Plan(0, 0);
  }

  static constexpr const char* kLongRunningJob = "00000000000000a2";

  /// Adds a long-running job that a runner lists as running.
  void RunLongRunningTaskOn(const std::string& runner) {
    fleet::runner_report report;
    report.id = runner;
    report.pool = "pool";
    scheduler.AddRunner(report);
    fleet::job_record record;
    record.id = kLongRunningJob;
    record.pool = "pool";
    fleet::task_step step;
    step.count = 1;
    step.long_running = true;
    record.request.steps = {step};
    scheduler.AddJob(std::move(record), false, 0, 0);
    fleet::runner_listing listing;
    listing.running.push_back({{kLongRunningJob, 0, 0, 0}, 1, "", 100, 0});
    scheduler.ApplyListing(runner, listing, 0, 0);
  }

  /// Lists the end of the task of RunLongRunningTaskOn(), as after its stop.
  void EndTaskOn(const std::string& runner) {
    fleet::runner_listing listing;
    listing.ended.push_back(
        {1, {kLongRunningJob, 0, 0, 0}, 1, fleet::run_end::kStopped, ""});
    scheduler.ApplyListing(runner, listing, 0, 0);
  }

  /// Ticks the controller when its next list of the hosts is due, and runs the
  /// event loop until the list has arrived. An order that the controller
  /// decided on has then arrived as well.
  void Tick() {
    TickUntilListed();
    RunRoundTrips();
  }

  /// As Tick(), without waiting for orders.
  void TickUntilListed() {
    const int lists_before = lists;
    time.Advance(kListIntervalMs);
    subject->Tick();
    RunUntil([&] { return lists > lists_before; });
  }

  /// Runs the event loop for a round trip to the store, in which the record of
  /// the orders is written, and one to the host service.
  void RunRoundTrips() {
    bool done = false;
    const auto finish = [&done](const auto&) { done = true; };
    context->store->Get(WaveKey(0), finish);
    RunUntil([&] { return done; });
    done = false;
    probe->Send({.target = "/probe"}, finish);
    RunUntil([&] { return done; });
  }

  static constexpr millis kListIntervalMs = 500;
  /// Number of connections that the controller opens to the host service.
  static constexpr std::size_t kConnections = 3;

  manual_clock time{100000};
  std::unique_ptr<http::server> service;
  std::unique_ptr<http::client> probe;
  host_controller_hooks hooks;
  std::unique_ptr<node_context> context;
  sched::scheduler scheduler{1};
  bool permitted = true;    ///< Result of the may_order_hosts hook.
  int lists = 0;            ///< Number of lists of the hosts received.
  bool hold_lists = false;  ///< The service does not answer requests for lists.
  std::vector<http::server::responder> held_lists;
  fleet_fake::fake_store store{io};
  /// Responders of the orders that the service has received.
  std::vector<http::server::responder> orders;
  std::vector<std::string> ordered_hosts;  ///< Host of each order received.
  std::vector<std::uint64_t> tokens;  ///< Fencing token of each order received.
  std::unique_ptr<host_controller> subject;
};

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

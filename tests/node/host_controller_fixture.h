#pragma once

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/http/server.h"
#include "src/node/host_controller.h"
#include "src/node/record_keys.h"
#include "tests/http/http_fixture.h"
#include "tools/fleet_fake/fake_store.h"

namespace radishwing::node {

/// A host controller, a fake host service with four hosts in standby, a fake
/// store, and a scheduler whose only pool has no runner. The controller reads
/// the time of `time`.
struct host_controller_fixture : http::http_fixture {
  /// A host as the fake host service lists it.
  struct listed_host {
    std::string pool = "off";
    std::string state = "up";
    std::string runner;
  };

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
    hooks.unregistered_runners = [this] { return unregistered; };
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
  /// has carried them out, with an error that leaves it open whether it did, or
  /// with a refusal for `reason`.
  void AnswerOrders(int status, const char* reason = "") {
    for (const auto& respond : std::exchange(orders, {})) {
      respond(http::MakeJsonResponse(static_cast<unsigned>(status),
                                     boost::json::object{{"reason", reason}}));
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

  boost::json::object HostList() const {
    boost::json::array list;
    for (const auto& [name, host] : hosts) {
      list.push_back({{"machine", name},
                      {"pool", host.pool},
                      {"state", host.state},
                      {"id", host.runner},
                      {"free-resources", boost::json::object{{"cpu", 4000}}}});
    }
    return {{"machines", list}};
  }

  /// Registers a runner, which lists that it runs nothing.
  void RegisterRunner(const std::string& id) {
    fleet::runner_report report;
    report.id = id;
    report.pool = "pool";
    scheduler.AddRunner(report);
    scheduler.ApplyListing(id, {}, 0, 0);
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

  /// Removes the job of AddWaitingJob() and its request for hosts.
  void RemoveWaitingJob() {
    scheduler.CancelJob("00000000000000a1", 0);
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
  /// The list of the hosts, by name.
  std::map<std::string, listed_host> hosts{{"h1", {.runner = "r-h1"}},
                                           {"h2", {.runner = "r-h2"}},
                                           {"h3", {.runner = "r-h3"}},
                                           {"h4", {.runner = "r-h4"}}};
  /// Result of the unregistered_runners hook.
  std::vector<std::string> unregistered;
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

}  // namespace radishwing::node

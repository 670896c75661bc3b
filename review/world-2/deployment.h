#pragma once

#include <filesystem>
#include <optional>
#include <random>

#include "hosts.h"
#include "nodes.h"
#include "record.h"
#include "runner.h"
#include "store.h"

namespace world {

struct deployment_options {
  std::string program;  ///< The daemon's program.
  std::string folder;   ///< Temporary folder for settings and output.
  std::string network;  ///< First three numbers of the loopback addresses.
  std::string record_path;
  int daemons = 3;
};

/// A small deployment: the store, the interface to machines, runners, daemons
/// and the clients' side.
class deployment {
 public:
  explicit deployment(const deployment_options& options)
      : log(options.record_path),
        platform(io, options.network + ".200", 8344),
        cloud(io, log, options.network + ".201", 8344),
        daemons(log, options.program, options.folder, options.network,
                platform.Address(), cloud.Address(), options.daemons),
        network_(options.network) {
    cloud.move_begins = [this](const std::string& machine) {
      for (const auto& entry : runners) {
        if (entry->Machine() == machine && entry->IsUp()) entry->Leave();
      }
    };
    cloud.move_ends = [this](const std::string& machine) { Arrive(machine); };
  }

  /// Writes a configuration with one queue a service, `/SERVICE/`, for the
  /// tenant `team-1`.
  void Configure(const std::vector<std::string>& services, int attempts = 2) {
    json::array routes;
    json::array backends;
    for (const std::string& name : services) {
      routes.push_back(json::object{{"name", "queue-" + name},
                                    {"host", "jobs.example"},
                                    {"prefix", "/" + name + "/"},
                                    {"backend", name},
                                    {"priority", 0},
                                    {"attempts", attempts},
                                    {"stretch", 2.0},
                                    {"target-latency-ms", 600}});
      backends.push_back(json::object{{"name", name}});
    }
    platform.Put(
        "op/config",
        json::serialize(json::object{
            {"version", ++version_},
            {"routes", std::move(routes)},
            {"services", std::move(backends)},
            {"limits", json::object{}},
            {"tenants",
             json::array{
                 json::object{{"name", "team-1"},
                              {"api-keys", json::array{"key-1"}},
                              {"weight", 1},
                              {"cap", json::object{{"cpu", 64000}}}},
                 json::object{{"name", "team-2"},
                              {"api-keys", json::array{"key-2"}},
                              {"weight", 1},
                              {"cap", json::object{{"cpu", 64000}}}}}}}));
  }

  runner& AddRunner(runner_settings settings, runner::planner plan) {
    if (settings.machine.empty()) settings.machine = "machine-" + settings.id;
    const std::string name = settings.machine;
    host_service::machine machine;
    machine.pool = settings.service;
    machine.zone = settings.zone;
    machine.rack = settings.rack;
    machine.runner = settings.id;
    cloud.Machines()[name] = machine;
    runners.push_back(std::make_unique<runner>(
        io, platform, log, std::move(settings),
        network_ + "." + std::to_string(100 + runners.size() % 90),
        std::move(plan), observer));
    return *runners.back();
  }

  /// Sends a client's request to the daemon `node`.
  net::awaitable<reply> Ask(int node, std::string method, std::string target,
                            std::string body = "", std::string key = "key-1") {
    return Call(daemons.Ip(node), nodes::kFrontPort, std::move(method),
                std::move(target),
                {{"Host", "jobs.example"},
                 {"X-Api-Key", std::move(key)},
                 {"Deadline-Ms", "3000"},
                 {"Content-Type", "application/json"}},
                std::move(body), 3000);
  }

  /// Hands a job in, at one daemon after the other, at most `attempts` times.
  /// Returns true if it was accepted.
  net::awaitable<bool> Submit(std::string target, std::string body,
                              int attempts = 5, std::string key = "key-1") {
    for (int i = 0; i < attempts; ++i) {
      const int node = next_node_++ % daemons.Count();
      const reply answer = co_await Ask(node, "POST", target, body, key);
      log.Line("POST " + target + " at " + nodes::Name(node) + ": " +
               std::to_string(answer.status));
      if (answer.status == 200) co_return true;
      co_await Sleep(300);
    }
    co_return false;
  }

  /// Asks one daemon after the other for a job's state. Returns the state, or
  /// the status of the last answer.
  net::awaitable<std::string> State(std::string target, int attempts = 4,
                                    std::string key = "key-1") {
    std::string last;
    for (int i = 0; i < attempts; ++i) {
      const reply answer =
          co_await Ask(next_node_++ % daemons.Count(), "GET", target, "", key);
      if (answer.status == 200)
        co_return TextAt(ParseBody(answer.body), "state");
      last = std::to_string(answer.status);
      if (answer.status == 410) co_return last;
      co_await Sleep(200);
    }
    co_return last;
  }

  /// Returns the number of the daemon that wrote the leader's record, or -1.
  int Leader() const {
    const std::string name =
        TextAt(ParseBody(platform.Value("rw/n/shard/0")), "node");
    for (int i = 0; i < daemons.Count(); ++i) {
      if (nodes::Name(i) == name) return i;
    }
    return -1;
  }

  /// Starts all daemons and waits until each of them is ready.
  net::awaitable<bool> StartDaemons() {
    for (int i = 0; i < daemons.Count(); ++i) daemons.Start(i);
    const millis until = Now() + 15000;
    for (int i = 0; i < daemons.Count(); ++i) {
      while (true) {
        const reply answer =
            co_await Call(daemons.Ip(i), 8343, "GET", "/readyz", {}, "", 500);
        if (answer.status == 200) break;
        if (Now() > until) co_return false;
        co_await Sleep(100);
      }
    }
    while (Leader() < 0 && Now() < until) co_await Sleep(50);
    co_return Leader() >= 0;
  }

  net::awaitable<void> AwaitEnd(int node) {
    while (!daemons.HasEnded(node)) co_await Sleep(10);
  }

  net::io_context io{1};
  record log;
  store platform;
  host_service cloud;
  nodes daemons;
  run_observer observer;
  std::vector<std::unique_ptr<runner>> runners;

 private:
  /// Starts a new runner on a machine that has arrived in its new pool.
  void Arrive(const std::string& machine) {
    const auto last = std::find_if(
        runners.rbegin(), runners.rend(),
        [&](const auto& entry) { return entry->Machine() == machine; });
    if (last == runners.rend()) return;
    runner_settings settings = (*last)->Settings();
    settings.id = "runner-" + std::to_string(100 + runners.size());
    settings.service = cloud.Machines()[machine].pool;
    cloud.Machines()[machine].runner = settings.id;
    runners.push_back(std::make_unique<runner>(
        io, platform, log, settings,
        network_ + "." + std::to_string(100 + runners.size() % 90),
        (*last)->Plan(), observer));
  }

  std::string network_;
  int version_ = 0;
  int next_node_ = 0;
};

/// Returns a loopback network, as "127.A.B", in which this machine lets a
/// process listen at the daemons' ports.
inline std::string FreeNetwork() {
  std::mt19937 random(std::random_device{}());
  net::io_context io;
  for (int i = 0; i < 50; ++i) {
    const std::string network = "127." + std::to_string(20 + random() % 200) +
                                "." + std::to_string(1 + random() % 250);
    boost::system::error_code error;
    for (const int last : {1, 2, 3, 200, 201}) {
      for (const int port : {7000, 8340, 8343, 8344, 9090}) {
        net::ip::tcp::acceptor probe(io);
        const net::ip::tcp::endpoint endpoint(
            net::ip::make_address(network + "." + std::to_string(last)),
            static_cast<std::uint16_t>(port));
        boost::system::error_code failed;
        probe.open(endpoint.protocol(), failed);
        if (!failed) probe.bind(endpoint, failed);
        if (failed) error = failed;
      }
    }
    if (!error) return network;
  }
  return "";
}

}  // namespace world

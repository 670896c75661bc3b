#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/http/client.h"
#include "tools/fleet_fake/run_ledger.h"
#include "tools/fleet_fake/store_stand_in.h"
#include "tools/fleet_fake/worker_stand_in.h"

// The stand-ins of a platform and the callers of a fleet, for tools/demo:
// prints the store's address, sends jobs to the nodes' front addresses, asks
// for every accepted job until it has succeeded, and counts from the callers'
// and the runners' records.

namespace {

using namespace radishwing;
using boost::beast::http::verb;
namespace json = boost::json;

constexpr millis kTaskMs = 200;
constexpr millis kSendEveryMs = 40;
constexpr millis kAskEveryMs = 100;
constexpr millis kCallMs = 3000;
// A job that has not succeeded this long after the last submission is lost.
constexpr millis kFinishMs = 30000;
constexpr int kTries = 6;
constexpr const char* kKey = "demo-key";

struct demo_options {
  std::vector<std::string> fronts;
  int workers = 12;
  millis length_ms = 20000;
  std::uint64_t seed = 1;
  bool faults = false;
};

struct tally {
  int answered = 0;
  int refused = 0;
  int unknown = 0;
};

std::string Config() {
  return json::serialize(json::object{
      {"version", 1},
      {"routes", json::array{json::object{{"name", "render"},
                                          {"host", "demo.example"},
                                          {"prefix", "/render/"},
                                          {"backend", "pool"},
                                          {"attempts", 3},
                                          {"stretch", 2.0},
                                          {"target-latency-ms", 600}}}},
      {"services", json::array{json::object{{"name", "pool"}}}},
      {"tenants", json::array{json::object{{"name", "demo"},
                                           {"api-keys", json::array{kKey}},
                                           {"weight", 1}}}}});
}

std::string JobBody() {
  const json::object step{
      {"count", 4}, {"cpu", 500}, {"mem-mb", 100}, {"estimate-ms", kTaskMs}};
  json::object second = step;
  second["after"] = json::array{0};
  return json::serialize(
      json::object{{"spec", "demo"}, {"steps", json::array{step, second}}});
}

/// Makes the stand-ins misbehave for spans of time, by a seed.
class fault_source {
 public:
  fault_source(
      fleet_fake::store_stand_in& store,
      std::vector<std::unique_ptr<fleet_fake::worker_stand_in>>& workers,
      std::uint64_t seed)
      : store_(store), workers_(workers), random_(seed) {}

  /// Called every few ms; begins and ends spans.
  void Step(millis now) {
    if (now < next_) return;
    next_ = now + 300 + static_cast<millis>(random_() % 1200);
    store_.SetRefusing(false);
    store_.SetQuiet(false);
    for (auto& worker : workers_) worker->SetSilent(false);
    fleet_fake::worker_stand_in& worker =
        *workers_[random_() % workers_.size()];
    const auto kind = random_() % 8;
    std::cout << "fault " << kind << " for " << next_ - now << " ms\n";
    if (kind == 0) store_.SetRefusing(true);
    if (kind == 1) store_.LoseCommitAnswers(3);
    if (kind == 2) store_.Compact();
    if (kind == 3) store_.SetQuiet(true);
    if (kind == 4) store_.EndLeases();
    if (kind == 5) worker.SetSilent(true);
    if (kind == 6) worker.LoseStartAnswers(3);
  }

  /// Ends all spans.
  void Stop() {
    store_.SetRefusing(false);
    store_.SetQuiet(false);
    for (auto& worker : workers_) worker->SetSilent(false);
  }

 private:
  fleet_fake::store_stand_in& store_;
  std::vector<std::unique_ptr<fleet_fake::worker_stand_in>>& workers_;
  std::mt19937_64 random_;
  millis next_ = 0;
};

class callers {
 public:
  callers(boost::asio::io_context& io, const demo_options& options)
      : io_(io), options_(options), random_(options.seed) {
    for (const std::string& address : options.fronts) {
      http::client_options front;
      front.address = address;
      auto made = http::client::Make(io, front);
      if (Ok(made)) fronts_.push_back(std::move(Value(made)));
    }
  }

  void Run(fault_source* faults) {
    const millis until = now_.Now() + options_.length_ms;
    for (std::uint64_t next = 1; now_.Now() < until; ++next) {
      if (faults) faults->Step(now_.Now());
      char id[17];
      std::snprintf(id, sizeof(id), "%016llx",
                    static_cast<unsigned long long>(next));
      Submit(id, kTries);
      Wait(kSendEveryMs);
    }
    if (faults) faults->Stop();
    const millis last = now_.Now() + kFinishMs;
    while (now_.Now() < last && !(open_.empty() && submitting_ == 0)) {
      for (const auto& [id, done] : std::map(open_)) Ask(id);
      Wait(kAskEveryMs);
    }
  }

  const tally& Counts() const { return counts_; }
  std::size_t Lost() const { return open_.size(); }

 private:
  void Wait(millis time) { io_.run_for(std::chrono::milliseconds(time)); }

  void Call(verb method, const std::string& id, const std::string& body,
            std::function<void(unsigned status, const std::string&)> done) {
    http::client_request request;
    request.method = method;
    request.target = "/render/" + id;
    request.body = body;
    request.headers = {{"Host", "demo.example"}, {"X-Api-Key", kKey}};
    request.deadline_ms = kCallMs;
    auto& front = fronts_[random_() % fronts_.size()];
    front->Send(request, [done](result<http::client_response> answer) {
      if (!Ok(answer)) return done(0, "");
      done(Value(answer).status, Value(answer).body);
    });
  }

  // A caller without a final answer sends the same identifier again, to any
  // node.
  void Submit(const std::string& id, int tries) {
    ++submitting_;
    Call(verb::post, id, JobBody(),
         [this, id, tries](unsigned status, const std::string&) {
           --submitting_;
           if (status == 200) {
             ++counts_.answered;
             open_[id] = false;
           } else if (tries > 1) {
             Again(id, tries - 1);
           } else if (status == 503 || status == 429) {
             ++counts_.refused;
           } else {
             ++counts_.unknown;
           }
         });
  }

  void Again(const std::string& id, int tries) {
    ++submitting_;
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(kAskEveryMs * 3));
    timer->async_wait([this, timer, id, tries](boost::system::error_code) {
      --submitting_;
      Submit(id, tries);
    });
  }

  void Ask(const std::string& id) {
    Call(verb::get, id, "", [this, id](unsigned, const std::string& body) {
      if (body.find("succeeded") != std::string::npos) open_.erase(id);
    });
  }

  boost::asio::io_context& io_;
  const demo_options& options_;
  std::mt19937_64 random_;
  radishwing::clock now_ = radishwing::clock::Monotonic();
  std::vector<std::unique_ptr<http::client>> fronts_;
  std::map<std::string, bool> open_;  ///< Accepted, not seen to succeed yet.
  int submitting_ = 0;
  tally counts_;
};

}  // namespace

int main(int argc, char** argv) {
  demo_options options;
  CLI::App app{"Stand-ins and callers for tools/demo"};
  app.add_option("--front", options.fronts, "Front address of a node; repeat")
      ->required();
  app.add_option("--workers", options.workers, "Runners");
  app.add_option("--length-ms", options.length_ms, "Time of traffic");
  app.add_option("--seed", options.seed, "Seed of callers and faults");
  app.add_flag("--faults", options.faults, "Makes store and runners misbehave");
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context io;
  fleet_fake::store_stand_in store(io);
  fleet_fake::run_ledger ledger;
  std::vector<std::unique_ptr<fleet_fake::worker_stand_in>> workers;
  for (int i = 0; i < options.workers; ++i) {
    workers.push_back(std::make_unique<fleet_fake::worker_stand_in>(
        io, store, ledger, "w" + std::to_string(i), "pool", kTaskMs));
  }
  store.Put("op/config", Config());
  std::cout << "store " << store.Address() << std::endl;
  callers load(io, options);
  fault_source faults(store, workers, options.seed);
  load.Run(options.faults ? &faults : nullptr);
  const tally& counts = load.Counts();
  std::cout << "demo: " << counts.answered << " answered, " << counts.refused
            << " refused, " << counts.unknown << " unknown, " << load.Lost()
            << " lost, " << ledger.Doubled() << " doubled" << std::endl;
  return load.Lost() == 0 && ledger.Doubled() == 0 ? 0 : 1;
}

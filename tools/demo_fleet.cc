#include <CLI/CLI.hpp>
#include <algorithm>
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
#include "tools/fleet_fake/fake_runner.h"
#include "tools/fleet_fake/fake_store.h"
#include "tools/fleet_fake/run_recorder.h"

// Fake platform and load generator for tools/demo and tools/soak. Prints the
// store's address, submits jobs to the nodes' client APIs and polls every
// accepted job until it has succeeded. The last line of output counts the
// outcomes that the load generator and the fake runners recorded.

namespace {

using namespace radishwing;
using boost::beast::http::verb;
namespace json = boost::json;

constexpr millis kTaskDurationMs = 200;

constexpr millis kPollIntervalMs = 100;
constexpr millis kRequestTimeoutMs = 3000;
// Accepted jobs count as lost if they have not succeeded within this time after
// the last submission.
constexpr millis kCompletionTimeoutMs = 30000;
// A cancel without a clear answer is repeated this often.
constexpr int kMaxCancelAttempts = 20;
constexpr int kMaxSubmitAttempts = 6;
constexpr const char* kApiKey = "demo-key";

struct demo_options {
  std::vector<std::string> client_api_addresses;
  int runner_count = 12;
  millis duration_ms = 20000;
  millis submit_interval_ms = 40;  ///< Time between two submitted jobs.
  std::uint64_t seed = 1;
  bool inject_faults = false;  ///< True to use a fault_injector.
};

struct submission_counts {
  int accepted = 0;  ///< Jobs that a node accepted.
  /// Jobs for which every submission attempt failed, and the last attempt
  /// received status 429 or 503.
  int refused = 0;
  /// Jobs for which every submission or cancel attempt failed, and the last
  /// attempt received another status or no response.
  int unknown = 0;
  int cancelled = 0;  ///< Jobs that were cancelled.
};

std::string EncodeFleetConfig() {
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
                                           {"api-keys", json::array{kApiKey}},
                                           {"weight", 1}}}}});
}

std::string EncodeJob() {
  const json::object first{{"count", 4},
                           {"cpu", 500},
                           {"mem-mb", 100},
                           {"estimate-ms", kTaskDurationMs}};
  json::object second = first;
  second["after"] = json::array{0};
  return json::serialize(
      json::object{{"spec", "demo"}, {"steps", json::array{first, second}}});
}

/// Injects random faults into the fakes, one at a time, for random intervals.
/// The same seed gives the same sequence.
class fault_injector {
 public:
  fault_injector(fleet_fake::fake_store& store,
                 std::vector<std::unique_ptr<fleet_fake::fake_runner>>& runners,
                 std::uint64_t seed)
      : store_(store), runners_(runners), random_(seed) {}

  /// Replaces the current fault by a new one when the current fault's interval
  /// is over. To be called frequently with the current time `now`.
  void Update(millis now) {
    if (now < next_fault_ms_) return;
    next_fault_ms_ = now + 300 + static_cast<millis>(random_() % 1200);
    store_.SetUnavailable(false);
    store_.SetWatchesMuted(false);
    store_.DelayCommits(0, 0);
    for (auto& runner : runners_) runner->SetUnresponsive(false);
    fleet_fake::fake_runner& runner = *runners_[random_() % runners_.size()];
    const auto kind = random_() % 9;
    std::cout << "fault " << kind << " for " << next_fault_ms_ - now << " ms\n";
    // Kind 7 injects no fault.
    if (kind == 0) store_.SetUnavailable(true);
    if (kind == 1) store_.DropCommitResponses(3);
    if (kind == 2) store_.DiscardHistory();
    if (kind == 3) store_.SetWatchesMuted(true);
    if (kind == 4) store_.ExpireAllLeases();
    if (kind == 5) runner.SetUnresponsive(true);
    if (kind == 6) runner.DropStartResponses(3);
    if (kind == 8) {
      store_.DelayCommits(static_cast<int>(random_() % 20),
                          1000 + static_cast<millis>(random_() % 3000));
    }
  }

  /// Ends all faults.
  void ClearFaults() {
    store_.SetUnavailable(false);
    store_.SetWatchesMuted(false);
    store_.DelayCommits(0, 0);
    for (auto& runner : runners_) runner->SetUnresponsive(false);
  }

  /// Returns true if the store will still carry out commits of earlier faults.
  bool HasDelayedCommits() const { return store_.DelayedCommitCount() > 0; }

 private:
  fleet_fake::fake_store& store_;
  std::vector<std::unique_ptr<fleet_fake::fake_runner>>& runners_;
  std::mt19937_64 random_;
  millis next_fault_ms_ = 0;  ///< Time of the next change of fault.
};

/// Submits jobs to random nodes at a fixed rate and polls the accepted jobs.
class load_generator {
 public:
  load_generator(boost::asio::io_context& io, const demo_options& options)
      : io_(io), options_(options), random_(options.seed) {
    for (const std::string& address : options.client_api_addresses) {
      http::client_options node_client_options;
      node_client_options.address = address;
      auto client = http::client::Make(io, node_client_options);
      if (Ok(client)) node_clients_.push_back(std::move(Value(client)));
    }
  }

  /// Generates load for the configured duration, then waits until the accepted
  /// jobs have succeeded or kCompletionTimeoutMs has passed. If `faults` is
  /// null, no faults are injected.
  void Run(fault_injector* faults) {
    const millis until = clock_.Now() + options_.duration_ms;
    for (std::uint64_t next = 1; clock_.Now() < until; ++next) {
      if (faults) faults->Update(clock_.Now());
      char id[17];
      std::snprintf(id, sizeof(id), "%016llx",
                    static_cast<unsigned long long>(next));
      Submit(id, kMaxSubmitAttempts);
      RunIoFor(options_.submit_interval_ms);
    }
    if (faults) faults->ClearFaults();
    const millis deadline = clock_.Now() + kCompletionTimeoutMs;
    while (clock_.Now() < deadline &&
           !(unfinished_.empty() && pending_submissions_ == 0 &&
             !(faults && faults->HasDelayedCommits()))) {
      for (const auto& [id, done] : std::map(unfinished_)) PollJob(id);
      RunIoFor(kPollIntervalMs);
    }
  }

  const submission_counts& Counts() const { return counts_; }
  /// Returns the number of accepted jobs that have not succeeded.
  std::size_t LostJobCount() const { return unfinished_.size(); }
  /// Returns the number of jobs that have run although their cancel was
  /// answered with 410, so that they were not stored before.
  std::size_t CountRunsOfCancelledJobs(
      const fleet_fake::run_recorder& recorder) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(cancelled_, [&](const std::string& id) {
          const auto task = recorder.tasks.lower_bound(id);
          return task != recorder.tasks.end() && task->first.starts_with(id);
        }));
  }

 private:
  void RunIoFor(millis time) { io_.run_for(std::chrono::milliseconds(time)); }

  /// Sends a request for the job `id` to a random node, and calls `done` with
  /// the status and the body of the response, or with status 0 if there is no
  /// response.
  void SendRequest(
      verb method, const std::string& id, const std::string& body,
      std::function<void(unsigned status, const std::string&)> done) {
    http::client_request request;
    request.method = method;
    request.target = "/render/" + id;
    request.body = body;
    request.headers = {{"Host", "demo.example"}, {"X-Api-Key", kApiKey}};
    request.total_timeout_ms = kRequestTimeoutMs;
    auto& node_client = node_clients_[random_() % node_clients_.size()];
    node_client->Send(request, [done](result<http::client_response> response) {
      if (!Ok(response)) return done(0, "");
      done(Value(response).status, Value(response).body);
    });
  }

  /// Submits the job `id`. If it is not accepted, submits it again with the
  /// same id to a randomly chosen node, while `attempts_left` is more than 1.
  void Submit(const std::string& id, int attempts_left) {
    ++pending_submissions_;
    SendRequest(verb::post, id, EncodeJob(),
                [this, id, attempts_left](unsigned status, const std::string&) {
                  --pending_submissions_;
                  const bool unknown = status == 0 || status == 504;
                  if (status == 200) {
                    ++counts_.accepted;
                    unfinished_[id] = false;
                  } else if (unknown && random_() % 2 == 0) {
                    Cancel(id, kMaxCancelAttempts);
                  } else if (attempts_left > 1) {
                    RetryLater(id, attempts_left - 1);
                  } else if (status == 503 || status == 429) {
                    ++counts_.refused;
                  } else {
                    ++counts_.unknown;
                  }
                });
  }

  /// Submits the job `id` again after a delay.
  void RetryLater(const std::string& id, int attempts_left) {
    RunLater([this, id, attempts_left] { Submit(id, attempts_left); });
  }

  /// Calls `action` after a delay.
  void RunLater(std::function<void()> action) {
    ++pending_submissions_;
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(kPollIntervalMs * 3));
    timer->async_wait(
        [this, timer, action = std::move(action)](boost::system::error_code) {
          --pending_submissions_;
          action();
        });
  }

  /// Cancels the job `id`, whose submission has an unknown outcome. Repeats the
  /// cancel until the answer is clear.
  void Cancel(const std::string& id, int attempts_left) {
    ++pending_submissions_;
    SendRequest(verb::delete_, id, "",
                [this, id, attempts_left](unsigned status, const std::string&) {
                  --pending_submissions_;
                  if (status == 200) {
                    ++counts_.cancelled;
                  } else if (status == 410) {
                    ++counts_.cancelled;
                    cancelled_.push_back(id);
                    SubmitCancelledJob(id);
                  } else if (attempts_left > 1) {
                    RunLater([this, id, attempts_left] {
                      Cancel(id, attempts_left - 1);
                    });
                  } else {
                    ++counts_.unknown;
                  }
                });
  }

  /// Submits a cancelled job once more, as a delayed copy of its first
  /// submission would.
  void SubmitCancelledJob(const std::string& id) {
    ++pending_submissions_;
    SendRequest(
        verb::post, id, EncodeJob(),
        [this](unsigned, const std::string&) { --pending_submissions_; });
  }

  /// Requests the state of the job `id`. Removes the job from unfinished_ if it
  /// has succeeded.
  void PollJob(const std::string& id) {
    SendRequest(verb::get, id, "",
                [this, id](unsigned, const std::string& body) {
                  if (body.find("succeeded") != std::string::npos)
                    unfinished_.erase(id);
                });
  }

  boost::asio::io_context& io_;
  const demo_options& options_;
  std::mt19937_64 random_;
  radishwing::clock clock_ = radishwing::clock::Monotonic();
  std::vector<std::unique_ptr<http::client>> node_clients_;
  /// Accepted jobs that are not known to have succeeded, by id. The values are
  /// not used.
  std::map<std::string, bool> unfinished_;
  /// Ids of jobs whose cancel was answered with 410.
  std::vector<std::string> cancelled_;
  /// Number of submissions and cancels that await a response or a retry.
  int pending_submissions_ = 0;
  submission_counts counts_;
};

}  // namespace

int main(int argc, char** argv) {
  demo_options options;
  CLI::App app{"Fakes and load generator for tools/demo"};
  app.add_option("--front", options.client_api_addresses,
                 "Client API address of a node; repeatable")
      ->required();
  app.add_option("--workers", options.runner_count, "Runners to simulate");
  app.add_option("--length-ms", options.duration_ms,
                 "Duration of the load in ms");
  app.add_option("--submit-interval-ms", options.submit_interval_ms,
                 "Time between two submitted jobs in ms");
  app.add_option("--seed", options.seed,
                 "Seed for the load generator and the faults");
  app.add_flag("--faults", options.inject_faults,
               "Injects faults into the store and the runners");
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context io;
  fleet_fake::fake_store store(io);
  fleet_fake::run_recorder recorder;
  std::vector<std::unique_ptr<fleet_fake::fake_runner>> runners;
  for (int i = 0; i < options.runner_count; ++i) {
    runners.push_back(std::make_unique<fleet_fake::fake_runner>(
        io, store, recorder, "w" + std::to_string(i), "pool", kTaskDurationMs));
  }
  store.Put("op/config", EncodeFleetConfig());
  std::cout << "store " << store.Address() << std::endl;
  load_generator load(io, options);
  fault_injector faults(store, runners, options.seed);
  load.Run(options.inject_faults ? &faults : nullptr);
  const submission_counts& counts = load.Counts();
  const std::size_t cancelled_runs = load.CountRunsOfCancelledJobs(recorder);
  std::cout << "demo: " << counts.accepted << " answered, " << counts.refused
            << " refused, " << counts.unknown << " unknown, "
            << counts.cancelled << " cancelled, " << load.LostJobCount()
            << " lost, " << recorder.DuplicatedTaskCount() << " doubled, "
            << cancelled_runs << " run although cancelled" << std::endl;
  const bool correct = load.LostJobCount() == 0 &&
                       recorder.DuplicatedTaskCount() == 0 &&
                       cancelled_runs == 0;
  return correct ? 0 : 1;
}

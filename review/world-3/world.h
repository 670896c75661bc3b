#pragma once

#include <signal.h>
#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "review/world-3/book.h"
#include "review/world-3/runner.h"
#include "review/world-3/store.h"
#include "src/http/client.h"

namespace review {

/// A radishwing-node process of the deployment.
class node_process {
 public:
  node_process(std::string binary, std::string name, std::string settings_path,
               std::string log_path);
  ~node_process();
  void Start();
  /// Returns true if the process runs (or is stopped by a signal).
  bool IsAlive();
  /// SIGKILL, then waits for the end.
  void Kill();
  const std::string& Name() const { return name_; }

 private:
  std::string binary_;
  std::string name_;
  std::string settings_path_;
  std::string log_path_;
  pid_t pid_ = 0;
};

struct queue_plan {
  std::string name;
  std::string prefix;
  std::string pool;
  int priority = 0;
  int attempts = 3;
  double stretch = 1.6;
  millis target_ms = 600;
  // Times of the advice service; 0: the queue has none.
  millis decide_ms = 0;
  millis period_ms = 0;
  millis valid_ms = 0;
};

struct world_plan {
  int nodes = 3;
  std::vector<queue_plan> queues;
  std::vector<std::string> pools;  ///< Without the spare pool.
  std::string spare_pool;          ///< Empty: there is none.
  /// Tenants by name; the key of a tenant is "key-" and its name.
  std::vector<std::string> tenants;
  std::int64_t cap_cpu = 0;
  millis stop_ms = 900;
};

/// A small deployment on loopback addresses: stand-ins of the store, the
/// runners, the host service and the clients, and the project's nodes as
/// processes. Scenario code runs in between RunFor() calls.
class world {
 public:
  world(world_plan plan, std::string directory, std::string record_path);
  ~world();

  void AddRunner(const runner::place& where);
  /// Adds a machine of the spare pool, which is off.
  void AddSpareMachine(const std::string& machine, const std::string& zone,
                       const std::string& rack, std::int64_t cpu);
  /// Writes the configuration and starts the nodes; returns false if they do
  /// not answer within some seconds.
  bool Start();
  void RunFor(millis duration);
  /// Runs until `done` returns true, at most for `limit`; returns its result.
  bool RunUntil(millis limit, const std::function<bool()>& done);

  book& Book() { return records_; }
  store& Store() { return *store_; }
  int NodeCount() const { return static_cast<int>(nodes_.size()); }
  /// Number of the node that holds the leader's key in the store, or -1.
  int Leader();
  std::mt19937& Random() { return random_; }
  std::string NewId();

  /// A job with an address of the queue and a fresh id.
  job_plan MakeJob(const std::string& queue, const std::string& tenant);
  /// Submits a job at `node`, with the client's retries at other nodes.
  void Submit(job_plan job, int node);
  /// Asks for the state of a job and waits for the answer's status and state.
  std::pair<unsigned, std::string> StateOf(const std::string& id, int node);
  int AdviceCalls() const { return advice_calls_; }

 private:
  struct machine {
    std::string pool;
    std::string zone;
    std::string rack;
    std::int64_t cpu = 16000;
    std::string state = "up";
    int runner = -1;  ///< Position in runners_; -1: none.
    std::uint64_t fence = 0;
  };
  /// A call of a client.
  void Call(int node, boost::beast::http::verb method, const std::string& host,
            const std::string& target, const std::string& key,
            const std::string& body, millis timeout,
            std::function<void(unsigned, std::string)> done);
  /// Asks for the state of a job; `done` gets the status and the state.
  void AskState(const std::string& id, int node,
                std::function<void(unsigned, std::string)> done);
  std::string ConfigText() const;
  void WriteSettings(int i);
  void ServeCloud(const radishwing::http::server_request& request,
                  radishwing::http::server::responder respond);
  void ServeAdvice(const radishwing::http::server_request& request,
                   radishwing::http::server::responder respond);
  void TrySubmit(const std::string& id, int node, int attempts_left);

  world_plan plan_;
  std::string directory_;
  std::string network_;
  boost::asio::io_context io_{1};
  /// Ends the nodes if this process is told to end.
  boost::asio::signal_set end_signals_{io_, SIGTERM, SIGINT};
  book records_;
  std::unique_ptr<store> store_;
  std::unique_ptr<runner_world> shared_;
  std::vector<std::unique_ptr<runner>> runners_;
  std::vector<std::unique_ptr<node_process>> nodes_;
  std::vector<std::unique_ptr<radishwing::http::client>> clients_;
  std::unique_ptr<radishwing::http::server> cloud_;
  std::unique_ptr<radishwing::http::server> advice_;
  millis advice_busy_until_ = 0;
  int advice_calls_ = 0;
  std::map<std::string, machine> machines_;
  int next_runner_id_ = 1;
  std::mt19937 random_{20261207};
};

}  // namespace review

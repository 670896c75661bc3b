#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "review/recorder.h"
#include "review/runner.h"
#include "review/store.h"
#include "src/http/client.h"
#include "src/http/server.h"

namespace review {

/// What a client has seen of one job.
struct job_record {
  std::string id;
  radishwing::millis sent_at = 0;
  /// Status of each answer to an attempt to hand the job in; 0: no answer.
  std::vector<unsigned> submit_statuses;
  radishwing::millis accepted_at = -1;  ///< -1: not accepted.
  std::string state;                    ///< The state that was shown last.
};

/// The platform, runners and clients around some radishwing nodes.
class deployment {
 public:
  /// The nodes' addresses are NET.1, NET.2 and so on.
  deployment(const std::string& record_path, const std::string& net, int nodes);

  void AddRunner(const std::string& id, const runner_kind& kind,
                 radishwing::millis run_ms);
  /// Adds the 9 runners of a service, 4 a rack.
  void AddService(radishwing::millis run_ms);
  /// Returns the runners of a rack.
  std::vector<runner*> Rack(const std::string& rack);

  /// Waits until all nodes are ready and one of them leads. Returns false if
  /// that takes more than 20 s.
  bool WaitUntilReady();
  void RunFor(radishwing::millis time);
  /// Runs until `done` returns true; returns false after `limit`.
  bool RunUntil(radishwing::millis limit, const std::function<bool()>& done);

  /// Hands a job in at the node `node` (from 0). As the pages say, a client
  /// that gets no answer, 502 or 504 sends the same request again, to another
  /// node, and returns after 429 or 503.
  void Submit(const std::string& id, int node, const std::string& body,
              int attempts = 6);
  /// Hands in a job with the body `body` every `interval` ms, for `time` ms.
  void SubmitFor(radishwing::millis time, const std::string& body,
                 radishwing::millis interval = 250);
  /// Sends a request for a job to a node; status 0: no answer within 3 s.
  void Send(boost::beast::http::verb method, const std::string& id, int node,
            const std::string& body,
            std::function<void(unsigned, const std::string&)> done);
  /// Asks for the state of all accepted jobs, at each node in turn.
  void AskForStates();
  /// Returns true if each job was accepted and is shown as succeeded.
  bool AllSucceeded() const;

  boost::asio::io_context io;
  recorder record;
  review::store store;
  run_log runs;
  std::vector<std::unique_ptr<runner>> runners;
  std::map<std::string, job_record> jobs;

 private:
  void ServeCloud(const radishwing::http::server_request& request,
                  const radishwing::http::server::responder& respond);
  radishwing::http::client& Front(int node);

  std::string net_;
  int nodes_;
  int next_job_ = 1;
  int ask_round_ = 0;
  std::unique_ptr<radishwing::http::server> cloud_;
  std::vector<std::unique_ptr<radishwing::http::client>> fronts_;
  std::vector<std::unique_ptr<radishwing::http::client>> probes_;
};

/// Returns the body of a job of one step.
std::string JobBody(int count, int cpu, radishwing::millis estimate_ms,
                    const std::string& requirements = "");
/// Returns the id of job number `number`.
std::string JobId(int number);

}  // namespace review

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/http/server.h"
#include "tools/fleet_fake/fake_store.h"
#include "tools/fleet_fake/run_recorder.h"

namespace radishwing::fleet_fake {

/// Fake runner, served on a loopback port. It checks the fencing tokens and
/// leases of its orders, executes them and lists its active and ended runs. Not
/// thread-safe.
class fake_runner {
 public:
  /// Registers the runner in `store` as a member of `pool`. Each of its runs
  /// takes `run_duration_ms`.
  fake_runner(boost::asio::io_context& io, fake_store& store,
              run_recorder& recorder, std::string id, std::string pool,
              millis run_duration_ms);

  /// While true, drops every request without executing it.
  void SetUnresponsive(bool unresponsive) { unresponsive_ = unresponsive; }
  /// Executes the next `count` start orders but drops their responses.
  void DropStartResponses(int count) { start_responses_to_drop_ = count; }
  /// Returns the number of active runs.
  std::size_t ActiveRunCount() const { return running_.size(); }

 private:
  struct active_run {
    int number = 0;  ///< Counts the runs of the task.
    millis ends_at = 0;
    millis started_at = 0;
  };
  struct ended_run {
    std::uint64_t sequence = 0;  ///< Counts the ends on this runner.
    std::string task;
    int run = 0;  ///< Counts the runs of the task.
    std::string outcome;
  };

  void ServeRequest(const http::server_request& request,
                    http::server::responder respond);
  /// Ends the runs that are complete and, if the lease has expired, all others.
  void EndDueRuns();
  /// `outcome` is how the run ended, in the words of the wire format: "done",
  /// "stopped" or "lapsed" (its lease expired).
  void EndRun(const std::string& task, const std::string& outcome);
  void StartRun(const boost::json::object& body,
                const http::server::responder& respond);
  /// Responds when a run has ended or the wait time of the request is over.
  void SendListing(const boost::json::object& body,
                   http::server::responder respond);
  boost::json::object EncodeListing();
  void RejectOrder(const http::server::responder& respond, const char* reason);

  boost::asio::io_context& io_;
  run_recorder& recorder_;
  clock clock_ = clock::Monotonic();
  std::string id_;
  millis run_duration_ms_;
  millis start_time_;
  std::unique_ptr<http::server> server_;
  std::map<std::string, active_run> running_;
  std::map<std::string, int> highest_ended_run_;
  std::vector<ended_run> unacknowledged_ends_;
  std::uint64_t next_end_sequence_ = 1;
  std::uint64_t fencing_token_ = 0;
  millis lease_expiry_ = 0;  ///< On the runner's clock: since start_time_.
  int start_responses_to_drop_ = 0;
  bool unresponsive_ = false;
};

}  // namespace radishwing::fleet_fake

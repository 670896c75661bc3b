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
/// leases of the orders that it receives, executes them and lists its active
/// and ended runs. Not thread-safe.
class fake_runner {
 public:
  /// Registers the runner in `store` as a member of `pool`. Each of its runs
  /// takes `run_duration_ms`.
  fake_runner(boost::asio::io_context& io, fake_store& store,
              run_recorder& recorder, std::string id, std::string pool,
              millis run_duration_ms);

  /// While true, the runner neither executes requests nor responds to them.
  void SetUnresponsive(bool unresponsive) { unresponsive_ = unresponsive; }
  /// Makes the runner execute the next `count` start orders but close the
  /// connections without a response.
  void DropStartResponses(int count) { start_responses_to_drop_ = count; }
  /// Returns the number of polls received so far.
  int PollCount() const { return poll_count_; }
  /// Returns the number of active runs.
  std::size_t ActiveRunCount() const { return active_runs_.size(); }

 private:
  struct active_run {
    int run_number = 0;     ///< Increases with each run of the task.
    millis ends_at = 0;     ///< Time on clock_ when the run will be complete.
    millis started_at = 0;  ///< Time on clock_.
  };
  struct ended_run {
    /// Sequence number of this ended run among all ended runs of the runner,
    /// from 1.
    std::uint64_t sequence = 0;
    std::string task;     ///< Name of the task.
    int run_number = 0;   ///< See active_run::run_number.
    std::string outcome;  ///< See EndRun.
  };

  void ServeRequest(const http::server_request& request,
                    http::server::responder respond);
  /// Ends the runs whose duration has passed. If the runner's lease has
  /// expired, also ends all other runs.
  void EndDueRuns();
  /// Ends the active run of `task`, if there is one. `outcome` is how it ended,
  /// in the words of the wire format: "done", "stopped" or "lapsed" (the
  /// runner's lease expired).
  void EndRun(const std::string& task, const std::string& outcome);
  void StartRun(const boost::json::object& body,
                const http::server::responder& respond);
  /// Sends the runner's listing as soon as the listing contains an ended run,
  /// or when the wait time of the request is over.
  void SendListing(const boost::json::object& body,
                   http::server::responder respond);
  /// Returns the runner's listing: its active runs and the ends of runs that no
  /// leader has acknowledged.
  boost::json::object EncodeListing();
  /// Responds with 409 and `reason`, a code of the wire format.
  void RejectOrder(const http::server::responder& respond, const char* reason);

  boost::asio::io_context& io_;
  run_recorder& recorder_;
  clock clock_ = clock::Monotonic();
  std::string id_;
  millis run_duration_ms_;
  millis start_time_;  ///< Time on clock_ when the runner was created.
  std::unique_ptr<http::server> server_;
  std::map<std::string, active_run> active_runs_;  ///< By task name.
  /// Highest run number that has ended or been ordered to stop, by task name.
  std::map<std::string, int> highest_ended_run_;
  std::vector<ended_run> unacknowledged_ends_;
  std::uint64_t next_end_sequence_ = 1;
  std::uint64_t fencing_token_ = 0;  ///< Highest token received so far.
  /// Time at which the runner's lease expires, in ms since start_time_.
  millis lease_expiry_ = 0;
  int start_responses_to_drop_ = 0;
  int poll_count_ = 0;
  bool unresponsive_ = false;
};

}  // namespace radishwing::fleet_fake

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "review/recorder.h"
#include "review/store.h"
#include "src/http/server.h"

namespace review {

/// What a runner is: written to its entry in the store.
struct runner_kind {
  std::string pool = "press";
  std::string zone = "zone-a";
  std::string rack = "rack-1";
  std::string label = "a";
  int cpu = 16000;
  int mem_mb = 65536;
};

/// One run of a task, as the runners saw it.
struct run_record {
  std::string task;
  int run = 0;
  std::string runner;
  radishwing::millis started_at = 0;
  radishwing::millis ended_at = -1;  ///< -1: not ended.
  std::string how;                   ///< How it ended.
  /// Time when the ack-cursor reached the end, if the runner's lease didn't
  /// lapse between the two; -1: never.
  radishwing::millis noted_at = -1;
};

/// The runs of all runners, in the order of their starts.
using run_log = std::vector<run_record>;

/// Stand-in of a runner, with leases, fencing tokens, runs and ends.
class runner {
 public:
  runner(boost::asio::io_context& io, store& entries, recorder& record,
         run_log& log, std::string id, runner_kind kind,
         radishwing::millis run_ms);

  const std::string& Id() const { return id_; }
  const runner_kind& Kind() const { return kind_; }
  bool IsUp() const { return up_; }
  std::size_t RunningCount() const { return running_.size(); }
  int RunningCpu() const;
  bool Runs(const std::string& job) const;

  /// The runner loses its power: what runs on it ends, its connections go
  /// silent, new connections get no response, and it sends no heartbeats.
  void LosePower();
  /// The runner starts again under its id, at a new address if `new_address`.
  /// It knows nothing of before. Old connections stay silent.
  void StartAgain(bool new_address, const runner_kind& kind);

 private:
  struct active_run {
    int run = 0;
    int cpu = 0;
    radishwing::millis started_at = 0;  ///< On this runner's clock.
    radishwing::millis ends_at = 0;
    std::size_t log_index = 0;
    bool stopping = false;
  };
  struct ended_run {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
    std::size_t log_index = 0;
  };

  void Listen();
  void Heartbeat();
  void Serve(const radishwing::http::server_request& request,
             radishwing::http::server::responder respond);
  void Hold(const boost::json::object& body,
            radishwing::http::server::responder respond);
  void StartRun(const boost::json::object& body,
                const radishwing::http::server::responder& respond);
  void StopRun(const boost::json::object& body,
               const radishwing::http::server::responder& respond);
  void Refuse(const radishwing::http::server::responder& respond,
              const char* reason) const;
  void ExtendLease(const boost::json::object& body);
  void EndDueRuns();
  void EndRun(const std::string& task, const std::string& how);
  boost::json::object Listing() const;
  radishwing::millis Clock() const { return clock_.Now() - born_at_; }

  boost::asio::io_context& io_;
  store& entries_;
  recorder& record_;
  run_log& log_;
  std::string id_;
  runner_kind kind_;
  radishwing::millis run_ms_;
  radishwing::clock clock_ = radishwing::clock::Monotonic();
  /// The server of this life, and those of earlier lives at other addresses,
  /// whose connections stay open and silent.
  std::unique_ptr<radishwing::http::server> server_;
  std::vector<std::unique_ptr<radishwing::http::server>> old_servers_;
  boost::asio::steady_timer beat_timer_;
  boost::asio::steady_timer end_timer_;
  bool up_ = true;
  /// Requests on connections up to this number of the current server get no
  /// response: the connections are of an earlier life.
  std::uint64_t silent_through_ = 0;
  /// Number of lives so far; a pending response of an earlier life is dropped.
  int life_ = 1;
  std::uint64_t seq_ = 0;
  radishwing::millis born_at_ = 0;
  radishwing::millis born_unix_ms_ = 0;
  std::uint64_t fence_ = 0;
  radishwing::millis lease_until_ = 0;  ///< On this runner's clock.
  /// Last time of the record at which the lease was over; -1: never.
  radishwing::millis lapsed_at_ = -1;
  std::map<std::string, active_run> running_;
  std::vector<ended_run> ended_;
  std::map<std::string, int> highest_over_;  ///< Stopped or ended, by task.
  std::uint64_t next_end_ = 1;
};

}  // namespace review

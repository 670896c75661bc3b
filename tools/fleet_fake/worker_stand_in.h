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
#include "tools/fleet_fake/run_ledger.h"
#include "tools/fleet_fake/store_stand_in.h"

namespace radishwing::fleet_fake {

/// A stand-in of a runner: takes orders under fences and leases, lists what
/// runs and what has ended. Registers itself in the store. One thread.
class worker_stand_in {
 public:
  worker_stand_in(boost::asio::io_context& io, store_stand_in& store,
                  run_ledger& ledger, std::string id, std::string pool,
                  millis run_ms);

  /// While true no call is answered and nothing is done.
  void SetSilent(bool silent) { silent_ = silent; }
  /// The next `count` starts are carried out and not answered.
  void LoseStartAnswers(int count) { lost_answers_ = count; }
  std::size_t Running() const { return running_.size(); }

 private:
  struct run {
    int number = 0;
    millis ends_at = 0;
    millis began_at = 0;
  };
  struct ended {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };

  void Handle(const http::server_request& request,
              http::server::responder respond);
  void Advance();
  void End(const std::string& task, const std::string& how);
  void Start(const boost::json::object& body,
             const http::server::responder& respond);
  void Hold(const boost::json::object& body, http::server::responder respond);
  boost::json::object Listing();
  void Refuse(const http::server::responder& respond, const char* reason);

  boost::asio::io_context& io_;
  run_ledger& ledger_;
  clock now_ = clock::Monotonic();
  std::string id_;
  millis run_ms_;
  millis started_at_;
  std::unique_ptr<http::server> server_;
  std::map<std::string, run> running_;
  std::map<std::string, int> highest_ended_;
  std::vector<ended> ended_;
  std::uint64_t next_end_ = 1;
  std::uint64_t fence_ = 0;
  millis lease_until_ = 0;
  int lost_answers_ = 0;
  bool silent_ = false;
};

}  // namespace radishwing::fleet_fake

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "review/world-3/book.h"
#include "review/world-3/store.h"
#include "src/http/server.h"

namespace review {

/// What all runners share.
struct runner_world {
  boost::asio::io_context& io;
  book& records;
  store& registry;
  millis stop_ms = 900;
  millis max_hold_ms = 6000;
  millis gang_timeout_ms = 3000;
  millis checkpoint_ms = 2000;
  millis restore_ms = 250;
  millis heartbeat_ms = 1500;
  /// By step and run number, the members of a gang that are present.
  struct gang_member {
    std::string task;
    class runner* at;
  };
  std::map<std::string, std::vector<gang_member>> gangs;
  /// A ticket of the advice service.
  struct ticket {
    std::string text;
    std::uint64_t life = 0;  ///< Life of the runner for which it was issued.
    millis valid_until = 0;  ///< Time of the book.
  };
  /// By step and runner id. Only starts of `ticket_path_prefix` need one.
  std::map<std::pair<std::string, std::string>, ticket> tickets;
  std::string ticket_path_prefix;
};

/// Stand-in of a worker's runner, as PROTOCOL.md describes it.
class runner {
 public:
  struct place {
    std::string id;
    std::string pool;
    std::string zone;
    std::string rack;
    std::string address;  ///< ip:port; port 0 selects a free one.
    std::int64_t cpu = 16000;
    std::int64_t mem_mb = 65536;
    bool guards = false;
  };

  runner(runner_world& world, place where);
  ~runner();

  const place& Place() const { return place_; }
  bool IsUp() const { return up_; }
  std::uint64_t Life() const { return life_; }
  /// Ends the process of the runner; nothing of it is known any more.
  void Crash();
  /// Starts again under its id and address.
  void Restart();

 private:
  struct active_run {
    int number = 0;
    std::size_t record = 0;  ///< Position in the book.
    millis begun_at = 0;     ///< Clock time of the start.
    millis work_from = 0;  ///< Clock time from which it works; gang: set late.
    millis work_before = 0;  ///< Work that the checkpoint has saved.
    millis stop_at = -1;     ///< Clock time at which an ordered stop ends it.
    bool present_only = false;  ///< Gang member that waits for the others.
    std::string checkpoint;
  };
  struct ended_run {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
    std::string saved;
    std::size_t record = 0;
  };
  struct waiting_hold {
    millis until = 0;
    radishwing::http::server::responder respond;
  };
  using responder = radishwing::http::server::responder;

  void Listen();
  void Beat();
  void Register();
  void Serve(const radishwing::http::server_request& request,
             responder respond);
  void Start(const boost::json::object& body, const responder& respond);
  void Stop(const boost::json::object& body, const responder& respond);
  void Hold(const boost::json::object& body, responder respond);
  void Tick();
  void ScheduleTick();
  void End(const std::string& task, const std::string& how);
  void EndGang(const std::string& gang, const std::string& by,
               const std::string& how_by, const std::string& how_others);
  millis Work(const active_run& run) const;
  std::string Saved(const std::string& task, const active_run& run) const;
  boost::json::object Listing();
  void Reject(const responder& respond, const char* reason);
  millis Clock() const { return clock_.Now() - born_clock_; }
  bool Raise(const boost::json::object& body, const responder& respond);
  void Extend(const boost::json::object& body);

  runner_world& world_;
  place place_;
  radishwing::clock clock_ = radishwing::clock::Monotonic();
  millis born_clock_ = 0;
  millis born_unix_ = 0;
  std::unique_ptr<radishwing::http::server> server_;
  std::map<std::string, active_run> active_;
  std::map<std::string, int> highest_ended_;
  std::deque<ended_run> ended_;
  std::uint64_t next_end_ = 1;
  std::uint64_t fence_ = 0;
  millis lease_ = 0;
  std::vector<waiting_hold> holds_;
  std::uint64_t seq_ = 0;
  std::uint64_t life_ = 0;
  bool up_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace review

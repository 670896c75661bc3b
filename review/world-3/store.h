#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "review/world-3/job.h"
#include "src/base/clock.h"
#include "src/http/server.h"

namespace review {

/// How the store answers the calls that arrive at one of its addresses.
enum class store_mode { kUp, kBusy, kReset, kSilent };

/// Stand-in of the platform's metadata store, as PROTOCOL.md describes it. Each
/// node gets an address of its own, so that the store can turn one of them away.
class store {
 public:
  store(boost::asio::io_context& io, const std::vector<std::string>& addresses);

  std::string Address(int node) const { return doors_.at(node).server->Address(); }
  void SetMode(int node, store_mode mode) { doors_.at(node).mode = mode; }
  /// While down, leases pause.
  void SetModeForAll(store_mode mode);
  /// Connections that are open now get no more answers.
  void SilenceConnections();
  /// Delay of each answer.
  void SetDelay(millis delay) { delay_ms_ = delay; }
  /// Carries out the next `count` commits of node `node` but does not answer.
  void LoseCommitAnswers(int node, int count) {
    doors_.at(node).answers_to_lose = count;
  }
  std::uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string Value(const std::string& key) const;
  std::uint64_t Revision(const std::string& key) const;
  /// Called for each successful renewal of a lease by a node.
  std::function<void(int node, std::uint64_t lease)> on_renewed;
  /// Called for each call that arrives: node, method, path, accepted.
  std::function<void(int node, const std::string& line)> on_call;

 private:
  struct door {
    std::unique_ptr<radishwing::http::server> server;
    store_mode mode = store_mode::kUp;
    std::uint64_t silent_up_to = 0;
    int answers_to_lose = 0;
  };
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct lease {
    millis ttl_ms = 0;
    millis expires_at = 0;
  };
  struct change {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    item value;
  };
  using responder = radishwing::http::server::responder;

  void Serve(int node, const radishwing::http::server_request& request,
             responder respond);
  void ServeNow(int node, const radishwing::http::server_request& request,
                responder respond);
  void ServeWatch(int node, const radishwing::http::server_request& request,
                  responder respond, millis until);
  radishwing::http::server_response Commit(const boost::json::object& body);
  void ExpireLeases();
  void ScheduleTick();
  boost::json::object Encode(const std::string& key, const item& value) const;
  void Write(const std::string& key, std::string value, std::uint64_t lease);
  void Delete(const std::string& key);
  void WakeWatches();

  boost::asio::io_context& io_;
  radishwing::clock clock_ = radishwing::clock::Monotonic();
  std::vector<door> doors_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::vector<change> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1000;
  millis delay_ms_ = 0;
  bool down_ = false;
  millis down_since_ = 0;
  struct waiting_watch {
    int node;
    std::string prefix;
    std::uint64_t after;
    millis until;
    responder respond;
  };
  std::vector<waiting_watch> watches_;
};

}  // namespace review

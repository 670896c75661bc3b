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
/// node gets an address of its own.
class store {
 public:
  store(boost::asio::io_context& io, const std::vector<std::string>& addresses);

  std::string Address(int node) const {
    return doors_.at(node).server->Address();
  }
  /// While down, leases pause.
  void SetModeForAll(store_mode mode);
  std::uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string Value(const std::string& key) const;
  std::uint64_t Revision(const std::string& key) const;

 private:
  struct door {
    std::unique_ptr<radishwing::http::server> server;
    store_mode mode = store_mode::kUp;
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
  void ServeWatch(const radishwing::http::server_request& request,
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
  bool down_ = false;
  millis down_since_ = 0;
  struct waiting_watch {
    std::string prefix;
    std::uint64_t after;
    millis until;
    responder respond;
  };
  std::vector<waiting_watch> watches_;
};

}  // namespace review

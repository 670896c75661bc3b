#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "review/recorder.h"
#include "src/http/server.h"

namespace review {

/// Stand-in of the platform's metadata store: keys with revisions, leases,
/// transactions and watches.
class store {
 public:
  store(boost::asio::io_context& io, recorder& record);

  std::string Address() const { return server_->Address(); }
  /// Writes a key as the operator or a runner does.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  bool Contains(const std::string& key) const { return items_.contains(key); }

  /// While the store is down it answers 503 to each call, and leases pause.
  void SetDown(bool down);

  /// Decides for each transaction whether its answer is lost, and when it is
  /// executed: a value of 0 or more is the delay in ms. A negative value means
  /// that the transaction is executed and answered at once. Null: all are.
  std::function<radishwing::millis(const boost::json::object&)> lose_answer;

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct lease {
    radishwing::millis ttl_ms = 0;
    radishwing::millis expires_at = 0;
  };
  struct event {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    item value;
  };

  void Serve(const radishwing::http::server_request& request,
             radishwing::http::server::responder respond);
  /// Executes a transaction and returns the response.
  radishwing::http::server_response Transact(const boost::json::object& body);
  void SendRange(const radishwing::http::server_request& request,
                 const radishwing::http::server::responder& respond);
  void SendEvents(const radishwing::http::server_request& request,
                  radishwing::http::server::responder respond);
  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease);
  void Erase(const std::string& key);
  void ExpireLeases();
  static boost::json::object Encode(const std::string& key, const item& value);

  boost::asio::io_context& io_;
  recorder& record_;
  radishwing::clock clock_ = radishwing::clock::Monotonic();
  std::unique_ptr<radishwing::http::server> server_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::vector<event> history_;
  std::uint64_t revision_ = 10;
  std::uint64_t next_lease_ = 100;
  bool down_ = false;
  radishwing::millis down_since_ = 0;
};

}  // namespace review

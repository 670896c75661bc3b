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

namespace radishwing::fleet_fake {

/// A stand-in of the users' metadata store: keys with revisions, leases,
/// conditional commits and watches, on a loopback port. One thread.
class store_stand_in {
 public:
  explicit store_stand_in(boost::asio::io_context& io);

  std::string Address() const { return server_->Address(); }
  /// Another address of the same store, for nodes that are cut off from it
  /// while the others reach it.
  std::string SecondAddress() const { return second_server_->Address(); }
  /// While true every call to the second address gets 503.
  void SetSecondRefusing(bool refusing) { second_refusing_ = refusing; }
  /// Writes as the operator or a runner.
  void Put(const std::string& key, const std::string& value);
  /// The value of `key`, or an empty string.
  std::string Value(const std::string& key) const;
  /// While true every call gets 503 and nothing is done.
  void SetRefusing(bool refusing) { refusing_ = refusing; }
  /// The next `count` commits are carried out and not answered.
  void LoseCommitAnswers(int count) { lost_answers_ = count; }
  /// Ends all leases; their keys are removed.
  void EndLeases();
  /// While true watches are not told of changes.
  void SetQuiet(bool quiet) { quiet_ = quiet; }
  /// Forgets the history: watches from before get 410.
  void Compact() { compacted_ = revision_; }
  std::size_t Commits() const { return commits_; }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct lease {
    millis ttl_ms = 0;
    millis ends_at = 0;
  };
  struct change {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    item now;
  };

  void Handle(const http::server_request& request,
              http::server::responder respond);
  void Commit(const http::server_request& request,
              const http::server::responder& respond);
  void Range(const http::server_request& request,
             const http::server::responder& respond);
  void Watch(const http::server_request& request,
             http::server::responder respond);
  boost::json::array Events(const std::string& prefix, std::uint64_t after);
  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease);
  void Remove(const std::string& key);
  void ExpireLeases();
  static boost::json::object Encode(const std::string& key, const item& value);

  boost::asio::io_context& io_;
  clock now_ = clock::Monotonic();
  std::unique_ptr<http::server> server_;
  std::unique_ptr<http::server> second_server_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::vector<change> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t compacted_ = 0;
  std::uint64_t next_lease_ = 100;
  std::size_t commits_ = 0;
  int lost_answers_ = 0;
  bool refusing_ = false;
  bool second_refusing_ = false;
  bool quiet_ = false;
};

}  // namespace radishwing::fleet_fake

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/http/server.h"

namespace radishwing::fleet_fake {

/// Fake of the users' metadata store, served on two loopback addresses.
/// Supports keys with revisions, leases, conditional commits and watches. Not
/// thread-safe.
class fake_store {
 public:
  explicit fake_store(boost::asio::io_context& io);

  std::string Address() const { return server_->Address(); }
  /// Returns the second address of the same store. A test can partition the
  /// nodes that use this address from the store while the other nodes still
  /// reach the store.
  std::string SecondAddress() const { return second_server_->Address(); }
  /// While true, every request to the second address fails with 503.
  void SetSecondAddressUnavailable(bool unavailable) {
    second_unavailable_ = unavailable;
  }
  /// Writes a key directly, as an operator or a runner would. Returns its new
  /// revision.
  std::uint64_t Put(const std::string& key, const std::string& value);
  /// Removes a key directly.
  void Remove(const std::string& key);
  /// Returns the value of `key`, or an empty string if it does not exist.
  std::string Value(const std::string& key) const;
  /// While true, every request fails with 503 without taking effect.
  void SetUnavailable(bool unavailable) { unavailable_ = unavailable; }
  /// Returns the number of commits refused because of SetUnavailable().
  int RefusedCommitCount() const { return refused_commit_count_; }
  /// Makes reads of the keys with this prefix fail with 503; an empty prefix
  /// ends that.
  void RefuseReadsOf(const std::string& prefix) { refused_prefix_ = prefix; }
  /// Returns the number of reads refused because of RefuseReadsOf().
  int RefusedReadCount() const { return refused_read_count_; }
  /// Makes the store apply the next `count` commits but close the connections
  /// without a response.
  void DropCommitResponses(int count) { commit_responses_to_drop_ = count; }
  /// Delays the commits that write or remove `key`: the store does not respond
  /// to them and applies them only in ApplyDelayedCommits(). An empty key ends
  /// the delay for new commits.
  void DelayCommitsOf(const std::string& key) { delayed_key_ = key; }
  /// Returns the number of delayed commits that have not been carried out.
  std::size_t DelayedCommitCount() const {
    return delayed_commits_.size() + timed_commit_count_;
  }
  /// Applies the delayed commits whose preconditions still hold.
  void ApplyDelayedCommits();
  /// Makes the store carry out the next `count` commits only after `delay`, if
  /// their preconditions hold by then, and never respond to them.
  void DelayCommits(int count, millis delay) {
    commits_to_delay_ = count;
    commit_delay_ms_ = delay;
  }
  /// Makes responses to commits whose preconditions do not hold omit the keys
  /// that do not exist.
  void OmitAbsentItems() { omits_absent_items_ = true; }
  /// Makes the store refuse commits that write `key` with 400; an empty key
  /// ends that.
  void RefuseCommitsOf(const std::string& key) { refused_key_ = key; }
  /// Calls `action` once, before the next commit that writes or removes `key`
  /// is carried out.
  void BeforeNextCommitOf(const std::string& key,
                          std::function<void()> action) {
    awaited_key_ = key;
    before_awaited_commit_ = std::move(action);
  }
  /// Makes the store renew the lease of the next `count` renewals but never
  /// respond to them.
  void HoldRenewalResponses(int count) { renewal_responses_to_hold_ = count; }
  /// Returns the number of renewals so far.
  std::uint64_t RenewalCount() const { return renewal_count_; }
  /// Expires all leases and deletes their keys.
  void ExpireAllLeases();
  /// While true, watches report no changes.
  void SetWatchesMuted(bool muted) { watches_muted_ = muted; }
  /// Discards the history: watches from an earlier revision fail with HTTP 410.
  void DiscardHistory() { history_start_revision_ = revision_; }
  /// Returns the number of commits applied so far.
  std::size_t CommitCount() const { return commit_count_; }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;          ///< Revision of the last write.
    std::uint64_t created_revision = 0;  ///< Revision of the first write.
    std::uint64_t lease_id = 0;          ///< 0 if the key has no lease.
  };
  struct lease {
    millis ttl_ms = 0;
    millis expires_at = 0;  ///< Time on clock_.
  };
  struct change {
    std::string key;
    std::uint64_t revision = 0;  ///< Store revision after the change.
    bool deleted = false;        ///< True if the key was deleted.
    item new_item;               ///< Empty if the key was deleted.
  };

  void ServeRequest(const http::server_request& request,
                    http::server::responder respond);
  void ServeCommit(const http::server_request& request,
                   const http::server::responder& respond);
  /// Carries out a commit after the delay that DelayCommits() has set.
  void ApplyCommitLater(const boost::json::object& commit);
  /// Applies a commit if its preconditions hold, and returns the response.
  http::server_response ApplyCommit(const boost::json::object& commit);
  /// Returns true if the commit writes or removes `key`.
  static bool Changes(const boost::json::object& commit,
                      const std::string& key);
  void SendRange(const http::server_request& request,
                 const http::server::responder& respond);
  /// Responds when a key has changed or the wait time of the request is over.
  void SendChanges(const http::server_request& request,
                   http::server::responder respond);
  /// Encodes the changes after the revision `after` to the keys with the prefix
  /// `prefix`.
  boost::json::array EventsAfter(const std::string& prefix,
                                 std::uint64_t after);
  void WriteItem(const std::string& key, const std::string& value,
                 std::uint64_t lease_id);
  void DeleteKey(const std::string& key);
  /// Removes the leases whose time to live has passed and deletes their keys.
  void ExpireDueLeases();
  static boost::json::object EncodeItem(const std::string& key,
                                        const item& value);

  boost::asio::io_context& io_;
  clock clock_ = clock::Monotonic();
  std::unique_ptr<http::server> server_;
  std::unique_ptr<http::server> second_server_;
  std::map<std::string, item> items_;      ///< By key.
  std::map<std::uint64_t, lease> leases_;  ///< By lease id.
  std::vector<change> history_;            ///< In order of revision.
  std::uint64_t revision_ = 1;             ///< Revision of the last change.
  /// Watches from an earlier revision fail.
  std::uint64_t history_start_revision_ = 0;
  std::uint64_t next_lease_id_ = 100;
  std::size_t commit_count_ = 0;
  int commit_responses_to_drop_ = 0;
  std::string delayed_key_;  ///< See DelayCommitsOf; empty: none.
  std::vector<boost::json::object> delayed_commits_;
  std::string refused_key_;   ///< See RefuseCommitsOf; empty: none.
  int commits_to_delay_ = 0;  ///< See DelayCommits.
  millis commit_delay_ms_ = 0;
  std::size_t timed_commit_count_ = 0;  ///< Commits that wait for their delay.
  std::string awaited_key_;             ///< See BeforeNextCommitOf.
  std::function<void()> before_awaited_commit_;  ///< Null: none.
  int renewal_responses_to_hold_ = 0;
  std::uint64_t renewal_count_ = 0;
  bool unavailable_ = false;
  int refused_commit_count_ = 0;
  bool second_unavailable_ = false;
  std::string refused_prefix_;  ///< See RefuseReadsOf; empty: none.
  int refused_read_count_ = 0;
  bool watches_muted_ = false;
  bool omits_absent_items_ = false;
};

}  // namespace radishwing::fleet_fake

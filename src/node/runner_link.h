#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/runner_client.h"
#include "src/fleet/runner_report.h"
#include "src/node/listing_result.h"
#include "src/node/node_context.h"
#include "src/sched/order.h"

namespace radishwing::node {

/// Functions of the leader that a runner_link calls.
struct runner_link_hooks {
  /// Applies the runner's listing of its runs, from the response to a poll that
  /// was sent at `sent_at`. Unless it returns kAllAcknowledged, the next poll
  /// waits for ResumePolling or a short delay.
  std::function<listing_result(const std::string& runner,
                               const fleet::runner_listing& listing,
                               millis sent_at)>
      apply_listing;
  /// The runner became reachable or unreachable.
  std::function<void(const std::string& runner, bool reachable)>
      reachability_changed;
  /// The runner's process was restarted, according to the response to a poll
  /// that was sent at `sent_at`.
  std::function<void(const std::string& runner, millis sent_at)> restarted;
  /// Treats all runs on the runner as ended, because the leader's lease on it
  /// has expired or another runner uses its address. If another node may be the
  /// leader and extend that lease, the hook changes nothing and returns false;
  /// the link then calls the hook again later.
  std::function<bool(const std::string& runner)> discard_runs;
  /// The runner rejected a request because it has seen a higher fencing token.
  std::function<void()> fenced;
  /// Returns true if this node may send orders.
  std::function<bool()> may_send_orders;
  /// Returns the shortest time from a listing to the next poll.
  std::function<millis()> poll_spacing;
};

/// The leader's connection to one runner. Polls the runner continuously,
/// extends the leader's lease on it and sends orders to it.
///
/// A runner may start again under its id. What belongs to one incarnation is
/// never sent to another: acknowledgements and extensions of the lease go only
/// to connections on which the current incarnation is known to answer. Orders
/// under way when an incarnation ends, or its address changes, complete with an
/// unknown outcome.
class runner_link {
 public:
  /// By `predecessor_lease_end`, the leases of earlier leaders on the runner
  /// have expired; 0: there is no such lease.
  runner_link(node_context& context, std::uint64_t fencing_token,
              fleet::runner_report report, millis predecessor_lease_end,
              runner_link_hooks hooks);
  ~runner_link();

  /// Returns the runner's registration.
  const fleet::runner_report& Report() const;
  /// Replaces the runner's registration. If it has another address or shows
  /// another incarnation, the runner counts as unreachable until it has
  /// answered on a new connection.
  void UpdateReport(const fleet::runner_report& report);
  /// Sets whether tasks run or may run on the runner. A runner that is not busy
  /// is polled less often.
  void SetBusy(bool busy);
  /// Acknowledges the runner's run ends with sequence numbers up to
  /// `end_number`. The next poll tells the runner that these ends are stored;
  /// the runner then discards them.
  void Acknowledge(std::uint64_t end_number);
  /// Polls immediately if the next poll was deferred.
  void ResumePolling();
  /// Sends an order and passes its outcome to `done`. Passes kNotSent if this
  /// node may not send orders, the runner's address is invalid, the runner's
  /// clock is not known yet, or the order is a start and the runner is
  /// unreachable.
  void Send(const sched::order& order,
            std::function<void(fleet::order_outcome)> done);
  /// Returns true if the runner responded to the latest completed poll.
  bool Reachable() const;
  /// Returns the time since the last poll was sent, or since the link was
  /// created if none was.
  millis TimeSincePoll() const;
  /// Returns true if the leader's lease on the runner has expired, so that no
  /// task can be running on the runner any more.
  bool LeaseExpired() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node

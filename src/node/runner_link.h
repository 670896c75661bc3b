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

/// Callbacks of a runner_link to the leader.
struct runner_link_hooks {
  /// Handles the listing of a poll that was sent at `sent_at`. Unless it
  /// returns kApplied, the next poll waits for ResumePolling or a short delay.
  std::function<listing_result(const std::string& runner,
                               const fleet::runner_listing& listing,
                               millis sent_at)>
      listing;
  std::function<void(const std::string& runner, bool reachable)> reachable;
  /// The runner's process was restarted.
  std::function<void(const std::string& runner)> restarted;
  /// All runs there have ended: the lease has expired or another runner answers
  /// at the address. Returns false if that is not certain because another node
  /// may lead; the callback is then repeated.
  std::function<bool(const std::string& runner)> lease_expired;
  /// The runner knows a higher fencing token.
  std::function<void()> fenced;
  /// Returns false if this node may not send orders.
  std::function<bool()> may_send_orders;
};

/// The leader's connection to one runner: polls it continuously, extends its
/// lease and sends it orders.
class runner_link {
 public:
  /// Leases that an earlier leader has granted to the runner have expired by
  /// `predecessor_lease_end`.
  runner_link(node_context& context, std::uint64_t fencing_token,
              fleet::runner_report report, millis predecessor_lease_end,
              runner_link_hooks hooks);
  ~runner_link();

  const fleet::runner_report& Report() const;
  /// Replaces the report of the runner, reconnecting if the address changed.
  void Update(const fleet::runner_report& report);
  /// Sets whether the runner has or may have tasks; an idle one is polled less
  /// often.
  void SetBusy(bool busy);
  /// Run ends up to `number` are stored; the runner may discard them.
  void Acknowledge(std::uint64_t number);
  /// Polls now if the next poll was deferred.
  void ResumePolling();
  void Send(const sched::order& order,
            std::function<void(fleet::order_outcome)> done);
  bool Reachable() const;
  /// Returns true if no task can be running there any more.
  bool LeaseExpired() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node

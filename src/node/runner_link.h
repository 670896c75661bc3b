#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/runner_client.h"
#include "src/fleet/runner_report.h"
#include "src/node/listing_use.h"
#include "src/node/node_context.h"
#include "src/sched/order.h"

namespace radishwing::node {

/// What a runner_link tells the leader.
struct runner_link_hooks {
  /// A listing that was asked for at `sent_at`. Unless it was taken whole the
  /// next look is put off until Continue.
  std::function<listing_use(const std::string& runner,
                            const fleet::runner_listing& listing,
                            millis sent_at)>
      listing;
  std::function<void(const std::string& runner, bool reachable)> reachable;
  /// The runner's process is a new one.
  std::function<void(const std::string& runner)> reborn;
  /// Whatever ran has ended: the lease has run out or the runner is another.
  /// Returns false if that is not certain, because another node may lead; it
  /// is then told again.
  std::function<bool(const std::string& runner)> lease_over;
  /// A higher fencing token is known there.
  std::function<void()> fenced;
  /// False once this node may give no more orders.
  std::function<bool()> may_order;
};

/// The leader's link to one runner: looks at it all the time, extends its
/// lease, and carries orders.
class runner_link {
 public:
  /// `predecessor_until`: an earlier leader's leases there end by then.
  runner_link(node_context& context, std::uint64_t fence,
              fleet::runner_report report, millis predecessor_until,
              runner_link_hooks hooks);
  ~runner_link();

  const fleet::runner_report& Report() const;
  /// Takes over a changed report of the same runner.
  void Update(const fleet::runner_report& report);
  /// Tells whether the runner has or may have tasks; without, it is looked at
  /// less often.
  void SetBusy(bool busy);
  /// Ends up to `number` are kept and may be forgotten by the runner.
  void Acknowledge(std::uint64_t number);
  /// Looks again now if the last listing was put off.
  void Continue();
  void Send(const sched::order& order,
            std::function<void(fleet::order_outcome)> done);
  bool Reachable() const;
  /// True if nothing can be running there by now.
  bool LeaseOver() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node

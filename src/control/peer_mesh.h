#pragma once

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/control/control_options.h"
#include "src/control/peer_digest.h"
#include "src/control/peer_link.h"
#include "src/membership/member_table.h"

namespace radishwing::control {

/// The links to the other controls and the membership that heartbeats over
/// them give. Used on the decide thread.
class peer_mesh : private kj::TaskSet::ErrorHandler {
 public:
  /// `self.address` must be the address that was bound.
  peer_mesh(kj::AsyncIoContext& io, clock now, const control_options& options,
            rpc::hello self);

  /// Adds what other duties tell with each heartbeat.
  std::function<void(peer_digest&)> fill;
  /// Called with each digest that arrives.
  std::function<void(const peer_digest&)> on_digest;
  /// Called for each member that is new or changed its state.
  std::function<void(const membership::member_change&)> on_change;

  /// Sends the heartbeats; call every `heartbeat_ms`.
  void Tick();

  /// Answers the heartbeat of another control.
  peer_digest Exchange(const peer_digest& received);

  /// A connection to the control at `host`, opened if there is none. Rejects
  /// if the host is unknown or cannot be reached.
  kj::Promise<rpc::Peer::Client> Reach(const std::string& host);

  /// "<host>#<incarnation>" of the process that the open connection to `host`
  /// leads to; empty without one. The incarnation in a member row does not
  /// tell: it also grows by refutation.
  std::string ProcessAt(const std::string& host);

  /// Drops the connection to `host` after a call over it got no answer.
  void Distrust(const std::string& host);

  /// Tells all connected controls that this one leaves.
  kj::Promise<void> Leave();

  membership::member_table& Members() { return members_; }
  /// Rows of all members with the state this control sees them in.
  std::vector<membership::member> Rows() const { return members_.All(); }

  /// When a member of another data centre was last heard of, or of any other
  /// member if all are in this one. In ms of the clock.
  millis LastOutsideNewsMs() const { return outside_news_ms_; }

 private:
  void taskFailed(kj::Exception&& exception) override;
  peer_digest MakeDigest(const std::string& to);
  void Take(const peer_digest& received);
  void Report(const std::vector<membership::member_change>& changes);
  std::vector<std::string> Targets();
  peer_link& LinkTo(const std::string& address);
  /// True if `host` calls this control with its own heartbeats, whose answers
  /// are this control's. Of each pair the one whose name sorts first calls;
  /// the other one calls too as soon as these calls stop.
  bool HeardBy(const std::string& host) const;
  void Heartbeat(peer_link& link);

  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  clock clock_;
  const control_options& options_;
  rpc::hello self_;
  membership::member_table members_;
  std::map<std::string, std::unique_ptr<peer_link>> links_;  // By address.
  std::map<std::string, millis> reached_until_;  // Addresses used by Reach.
  std::map<std::string, std::string> contact_hosts_;  // Last host, by address.
  std::map<std::string, millis> called_ms_;           // Last exchange, by host.
  millis outside_news_ms_;
  kj::TaskSet tasks_;
};

}  // namespace radishwing::control

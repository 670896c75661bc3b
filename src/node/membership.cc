#include "src/node/membership.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "src/node/host_controller.h"
#include "src/node/record_keys.h"
#include "src/node/store_watch.h"
#include "src/node/term_record.h"
#include "src/sched/term_lease.h"

namespace radishwing::node {
namespace {

constexpr millis kRenewMs = 450;
constexpr millis kRetryMs = 200;
constexpr millis kWatchWaitMs = 1000;
// Delay per rank. Candidates start one after the other to avoid conflicting
// commits.
constexpr millis kCampaignDelayMs = 120;
constexpr millis kMaxCampaignDelayMs = 960;
// Initial delay while no leader has been seen. It exceeds the 300 ms within
// which all nodes start, so that the one with the largest CPU allowance is
// elected.
constexpr millis kFirstCampaignDelayMs = 400;

}  // namespace

struct membership::impl : std::enable_shared_from_this<membership::impl> {
  impl(node_context& context, std::string address, membership_hooks hooks)
      : context(context),
        hooks(std::move(hooks)),
        self_member{context.settings.name, std::move(address),
                    context.unix_now.Now(),
                    static_cast<int>(context.settings.cores * 1000)},
        renew_timer(context.io),
        campaign_timer(context.io) {}

  void RequestLease();
  void RegisterNode();
  void Renew();
  void ScheduleRenewal(millis delay);
  void Watch();
  void OnChange();
  /// Ends the leadership of this node, if it has one.
  void EndLeadership();
  void ScheduleCampaign();
  void Campaign();
  void CommitElection(std::uint64_t term_revision, const term_record& before);
  void ReleasePreviousRunKey(std::uint64_t term_revision, term_record before);
  void BecomeLeader(std::uint64_t fence);
  void SendResignation();
  void OnElected(const result<store::commit_outcome>& outcome);
  bool IsCurrentRun(const leader_record& record) const {
    return record.node == self_member.name &&
           record.started_unix_ms == self_member.started_unix_ms;
  }

  /// True if `record` names an earlier run of this node, which sends no more
  /// orders.
  bool IsPreviousRun(const leader_record& record) const {
    return record.node == self_member.name && !IsCurrentRun(record);
  }
  bool MayCampaign(const leader_record& record) const {
    return record.node.empty() || IsPreviousRun(record);
  }

  node_context& context;
  membership_hooks hooks;
  member self_member;
  std::uint64_t lease = 0;
  boost::asio::steady_timer renew_timer;
  boost::asio::steady_timer campaign_timer;
  std::unique_ptr<store_watch> watch;
  std::string last_leader;
  term_record previous_term;        ///< The term before this node's own.
  std::uint64_t ended_fence = 0;    ///< Fence of this node's last ended term.
  millis renewed_at = 0;            ///< Send time of the last renewal.
  std::uint64_t leading_fence = 0;  ///< 0: this node is not the leader.
  millis last_host_order_at = 0;    ///< The last order to a host in that term.
  bool resignation_in_flight = false;
  bool snapshot_received = false;
  bool registered = false;
  bool campaigning = false;
  bool stopped = false;
};

void membership::impl::RequestLease() {
  const millis sent_at = context.now.Now();
  context.store->GrantLease(
      sched::kNodeLeaseMs,
      [weak = weak_from_this(), sent_at](const result<std::uint64_t>& granted) {
        const auto self = weak.lock();
        if (!self || self->stopped) return;
        if (!Ok(granted)) return self->ScheduleRenewal(kRetryMs);
        self->lease = Value(granted);
        self->renewed_at = sent_at;
        self->registered = false;
        self->RegisterNode();
      });
}

void membership::impl::RegisterNode() {
  store::store_commit commit;
  commit.writes = {
      {NodeKey(self_member.name), EncodeMember(self_member), lease}};
  context.store->Commit(commit, [weak = weak_from_this()](
                                    const result<store::commit_outcome>& done) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    self->registered = Ok(done) && Value(done).committed;
    if (Ok(done) && Value(done).lease_not_found) self->lease = 0;
    self->ScheduleRenewal(self->registered ? kRenewMs : kRetryMs);
    if (self->registered) self->OnChange();
  });
}

void membership::impl::ScheduleRenewal(millis delay) {
  renew_timer.expires_after(std::chrono::milliseconds(delay));
  renew_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->stopped) return;
        if (self->lease == 0) return self->RequestLease();
        if (!self->registered) return self->RegisterNode();
        self->Renew();
      });
}

void membership::impl::Renew() {
  const millis sent_at = context.now.Now();
  context.store->RenewLease(
      lease, [weak = weak_from_this(), sent_at](const result<bool>& kept) {
        const auto self = weak.lock();
        if (!self || self->stopped) return;
        if (!Ok(kept)) return self->ScheduleRenewal(kRetryMs);
        if (Value(kept)) {
          self->renewed_at = sent_at;
          self->hooks.renewed(sent_at);
          self->OnChange();
          return self->ScheduleRenewal(kRenewMs);
        }
        self->context.log.Always(
            "member", "lease expired, lease=" + std::to_string(self->lease));
        self->lease = 0;
        // The shard's key expired with the lease, and a new lease does not
        // restore it.
        self->EndLeadership();
        self->RequestLease();
      });
}

void membership::impl::Watch() {
  store_watch_options options;
  options.prefix = kMemberPrefix;
  options.wait_ms = kWatchWaitMs;
  store_watch_hooks watched;
  watched.snapshot = [this](const std::vector<store::store_item>& items) {
    context.members.Reset(items);
    snapshot_received = true;
    OnChange();
  };
  watched.change = [this](const store::store_item& item) {
    const std::uint64_t before = context.members.Leader().fence;
    context.members.Apply(item);
    const leader_record& record = context.members.Leader();
    if (record.fence != before) {
      context.log.Always("member",
                         "leader changed, node=" + record.node +
                             " fence=" + std::to_string(record.fence));
    }
    OnChange();
  };
  watch = std::make_unique<store_watch>(context.io, *context.store, context.now,
                                        std::move(options), std::move(watched));
}

void membership::impl::EndLeadership() {
  if (leading_fence == 0) return;
  ended_fence = std::exchange(leading_fence, 0);
  hooks.leadership_lost();
}

void membership::impl::OnChange() {
  if (!snapshot_received || stopped) return;
  const leader_record& record = context.members.Leader();
  // The watch may lag behind this node's own election, so that only a newer
  // record ends the leadership.
  if (leading_fence != 0 && record.fence != leading_fence &&
      (record.fence > leading_fence || record.node.empty())) {
    EndLeadership();
  }
  if (!record.node.empty()) last_leader = record.node;
  if (leading_fence == 0 && IsCurrentRun(record) &&
      record.fence == ended_fence) {
    return SendResignation();
  }
  if (leading_fence == 0 && !campaigning && IsCurrentRun(record) &&
      record.fence != ended_fence) {
    // The reply to this node's election commit was lost.
    return BecomeLeader(record.fence);
  }
  if (leading_fence == 0 && MayCampaign(record)) ScheduleCampaign();
}

// The shard's key is bound to the node's lease, which this node keeps renewing.
// No other node can lead until the resignation is stored.
void membership::impl::SendResignation() {
  if (resignation_in_flight || stopped) return;
  resignation_in_flight = true;
  const term_record own{previous_term.term + 1, self_member.name, true,
                        context.now.Now() - last_host_order_at,
                        context.unix_now.Now()};
  store::store_commit commit;
  commit.preconditions = {{ShardKey(), ended_fence}};
  commit.removals = {ShardKey()};
  commit.writes = {{TermKey(), EncodeTerm(own), 0}};
  context.store->Commit(
      commit,
      [weak = weak_from_this()](const result<store::commit_outcome>& outcome) {
        const auto self = weak.lock();
        if (!self) return;
        self->resignation_in_flight = false;
        if (Ok(outcome)) return;
        // It is sent again after the next renewal.
        self->context.log.Warning("member",
                                  "resignation not stored, fence=" +
                                      std::to_string(self->ended_fence) +
                                      " error=" + Error(outcome).message);
      });
}

void membership::impl::ScheduleCampaign() {
  if (campaigning || !registered || context.stopping) return;
  campaigning = true;
  const auto rank = static_cast<millis>(context.members.Rank(self_member));
  const bool previous_run = context.members.Leader().node == self_member.name;
  const millis first = last_leader.empty() ? kFirstCampaignDelayMs : 0;
  const millis rank_delay =
      std::min(rank * kCampaignDelayMs, kMaxCampaignDelayMs);
  campaign_timer.expires_after(
      std::chrono::milliseconds(previous_run ? 0 : first + rank_delay));
  campaign_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!self || self->stopped) return;
        if (error) {
          self->campaigning = false;
          return;
        }
        self->Campaign();
      });
}

void membership::impl::Campaign() {
  const leader_record& record = context.members.Leader();
  if (leading_fence != 0 || !MayCampaign(record) || lease == 0 ||
      context.stopping || context.IsStoreUnreachable()) {
    campaigning = false;
    return;
  }
  context.store->Get(TermKey(), [weak = weak_from_this()](
                                    const result<store::store_item>& item) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    if (!Ok(item)) {
      self->campaigning = false;
      return;
    }
    const term_record before = DecodeTerm(Value(item).value);
    const leader_record& record = self->context.members.Leader();
    if (self->IsPreviousRun(record) &&
        self->context.members.HasMuchLargerNode(self->self_member)) {
      return self->ReleasePreviousRunKey(Value(item).revision, before);
    }
    self->CommitElection(Value(item).revision, before);
  });
}

void membership::impl::CommitElection(std::uint64_t term_revision,
                                      const term_record& before) {
  const leader_record record = context.members.Leader();
  // Another node may have been elected while the term record was read.
  if (!MayCampaign(record)) {
    campaigning = false;
    return;
  }
  store::store_commit commit;
  commit.preconditions = {{ShardKey(), record.fence},
                          {TermKey(), term_revision}};
  const term_record own{before.term + 1, self_member.name, false, 0,
                        context.unix_now.Now()};
  commit.writes = {{ShardKey(), EncodeMember(self_member), lease},
                   {TermKey(), EncodeTerm(own), 0}};
  previous_term = before;
  context.store->Commit(commit, [weak = weak_from_this()](
                                    const result<store::commit_outcome>& done) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    self->campaigning = false;
    self->OnElected(done);
  });
}

// An earlier run of this node was the leader, but a much larger node is
// available. The key of that run is removed at once rather than when its lease
// expires.
void membership::impl::ReleasePreviousRunKey(std::uint64_t term_revision,
                                             term_record before) {
  // The time of that run's last order to a host is not known.
  before.resigned = true;
  before.host_order_age_ms = 0;
  store::store_commit commit;
  commit.preconditions = {{ShardKey(), context.members.Leader().fence},
                          {TermKey(), term_revision}};
  commit.removals = {ShardKey()};
  commit.writes = {{TermKey(), EncodeTerm(before), 0}};
  context.store->Commit(
      commit, [weak = weak_from_this()](const result<store::commit_outcome>&) {
        // The watch reports the outcome. If the commit failed, the key expires
        // with its lease.
        if (const auto self = weak.lock()) self->campaigning = false;
      });
}

void membership::impl::OnElected(const result<store::commit_outcome>& outcome) {
  if (!Ok(outcome)) return;  // The watch reports it if it was committed.
  if (Value(outcome).committed) {
    store::store_item own{ShardKey(), EncodeMember(self_member),
                          Value(outcome).revision, lease};
    context.members.Apply(own);
    return BecomeLeader(Value(outcome).revision);
  }
  for (const store::store_item& item : Value(outcome).current) {
    if (item.key == ShardKey()) context.members.Apply(item);
  }
  OnChange();
}

void membership::impl::BecomeLeader(std::uint64_t fence) {
  leading_fence = fence;
  last_leader = self_member.name;
  const millis now = context.now.Now();
  const bool predecessor_stopped = previous_term.HasStopped(self_member.name);
  election won{.fence = fence,
               .term = previous_term.term + 1,
               .lease_renewed_at = renewed_at};
  if (previous_term.term > 0) {
    won.predecessor_lease_end =
        sched::term_lease::PredecessorDeadline(now, predecessor_stopped);
    const millis pause =
        context.settings.host_controller_lease_ms + kOrderInFlightMs;
    won.moves_allowed_at =
        now + previous_term.MovePause(self_member.name, context.unix_now.Now(),
                                      pause);
    won.waves_allowed_at = now + previous_term.WavePause(pause);
  }
  context.log.Always(
      "member",
      "leading, fence=" + std::to_string(fence) +
          " term=" + std::to_string(won.term) + " predecessor_silent=" +
          (predecessor_stopped ? "1" : "0") + " moves_free_in_ms=" +
          std::to_string(std::max<millis>(0, won.moves_allowed_at - now)));
  hooks.elected(won);
}

membership::membership(node_context& context, std::string peer_address,
                       membership_hooks hooks)
    : impl_(std::make_shared<impl>(context, std::move(peer_address),
                                   std::move(hooks))) {
  impl_->RequestLease();
  impl_->Watch();
}

membership::~membership() {
  impl_->stopped = true;
  impl_->watch.reset();
  impl_->renew_timer.cancel();
  impl_->campaign_timer.cancel();
}

bool membership::ShouldStepDown() const {
  return impl_->leading_fence != 0 &&
         impl_->context.members.HasMuchLargerNode(impl_->self_member);
}

void membership::Resign(millis host_order_age_ms) {
  const std::uint64_t fence = std::exchange(impl_->leading_fence, 0);
  if (fence == 0) return;
  impl_->ended_fence = fence;
  impl_->last_host_order_at = impl_->context.now.Now() - host_order_age_ms;
  impl_->SendResignation();
}

void membership::Leave(std::function<void()> done) {
  impl_->stopped = true;
  if (impl_->lease == 0) return done();
  impl_->context.store->RevokeLease(
      impl_->lease, [done = std::move(done)](const result<bool>&) { done(); });
}

}  // namespace radishwing::node

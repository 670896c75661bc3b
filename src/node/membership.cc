#include "src/node/membership.h"

#include <algorithm>
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

constexpr millis kLeaseRenewalIntervalMs = 450;
constexpr millis kRetryDelayMs = 200;
// Delay before a resignation that was not stored is repeated. No other node can
// lead before it is stored or the lease ends.
constexpr millis kResignationRetryMs = 50;
constexpr millis kMaxResignationRetryMs = 400;
constexpr millis kWatchWaitMs = 1000;
// Campaign delay for each node that precedes this one in member_table::Rank().
// Candidates start one after the other to avoid conflicting commits.
constexpr millis kCampaignDelayPerRankMs = 120;
constexpr millis kMaxCampaignDelayMs = 960;
// Additional campaign delay while this node has not seen a leader. It exceeds
// the 300 ms within which all nodes start, so that the node with the largest
// CPU allowance is elected.
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
        campaign_timer(context.io),
        resignation_timer(context.io) {}

  void RequestLease();
  void RegisterNode();
  void RenewNodeLease();
  void ScheduleRenewal(millis delay);
  void WatchMembers();
  /// Ends or assumes leadership, resigns, or starts a campaign, as the leader
  /// record in node_context::members requires.
  void UpdateRole();
  /// Ends the leadership of this node, if it has one.
  void EndLeadership();
  /// Makes this node ignore an election that it has won without having begun
  /// the term.
  void DiscardPendingElection();
  /// Starts a campaign after a delay that depends on this node's rank.
  void ScheduleCampaign();
  /// Reads the term record and tries to have this node elected.
  void Campaign();
  /// Registers this node as the leader, unless the shard's leader or term
  /// record has changed. `before` is the term record that was read at
  /// `term_revision`.
  void CommitElection(std::uint64_t term_revision, const term_record& before);
  void ReleasePreviousProcessKey(std::uint64_t term_revision,
                                 term_record before);
  /// Begins the term with this fencing token. If the node's lease is too old
  /// for orders, only renews it; UpdateRole() begins the term after that.
  void BecomeLeader(std::uint64_t fencing_token);
  /// Renews the lease and logs that the term waits for that, once for each
  /// term.
  void RenewLeaseBeforeTerm(std::uint64_t fencing_token);
  /// Returns the time in ms after which every lease on a runner that leaders up
  /// to the term `before` hold has expired, if this node is elected now.
  millis PredecessorLeaseMs(const term_record& before) const;
  void SendResignation();
  /// Sends a resignation that was not stored again after a short delay, unless
  /// the term has ended in the store by then.
  void RepeatResignation();
  void ApplyElectionOutcome(const result<store::commit_outcome>& outcome);
  /// Returns true if `record` names this process of this node as the leader.
  bool NamesThisProcess(const leader_record& record) const {
    return record.node == self_member.name &&
           record.started_unix_ms == self_member.started_unix_ms;
  }
  /// Returns true if `record` names an earlier process of this node as the
  /// leader. That process has ended and sends no more orders.
  bool NamesPreviousProcess(const leader_record& record) const {
    return record.node == self_member.name && !NamesThisProcess(record);
  }
  /// Returns true if no other process is registered as the leader.
  bool MayCampaign(const leader_record& record) const {
    return record.node.empty() || NamesPreviousProcess(record);
  }

  node_context& context;
  membership_hooks hooks;
  member self_member;
  /// Id of the lease of this node's keys; 0: none.
  std::uint64_t lease_id = 0;
  boost::asio::steady_timer renew_timer;
  boost::asio::steady_timer campaign_timer;
  boost::asio::steady_timer resignation_timer;
  /// Delay before the next repeat of the resignation.
  millis resignation_retry_ms = kResignationRetryMs;
  std::unique_ptr<store_watch> member_watch;
  /// Name of the last known leader's node; empty if none was known yet.
  std::string last_seen_leader;
  /// Most recent term before this node's last attempt to be elected.
  term_record previous_term;
  /// Fencing token of this node's last ended term; 0: none.
  std::uint64_t ended_fencing_token = 0;
  /// Fencing token of the last term that waited for a renewal; 0: none.
  std::uint64_t waiting_fencing_token = 0;
  /// Send time of the last request that granted or renewed the lease.
  millis renewed_at = 0;
  /// Fencing token of this node's current term; 0: it is not the leader.
  std::uint64_t current_fencing_token = 0;
  /// election::predecessor_lease_end of this node's last election.
  millis predecessor_lease_end = 0;
  /// Time of the last order to a host in the term from which this node
  /// resigned.
  millis last_host_order_at = 0;
  /// True while the commit of a resignation is unanswered.
  bool resignation_in_flight = false;
  bool snapshot_received = false;  ///< node_context::members is filled.
  bool registered = false;         ///< NodeKey() is stored under `lease_id`.
  bool campaigning = false;        ///< A campaign is scheduled or in progress.
  bool stopped = false;  ///< True once Leave() was called or at destruction.
};

void membership::impl::RequestLease() {
  const millis sent_at = context.now.Now();
  context.store->GrantLease(
      sched::kNodeLeaseMs,
      [weak = weak_from_this(), sent_at](const result<std::uint64_t>& granted) {
        const auto self = weak.lock();
        if (!self || self->stopped) return;
        if (!Ok(granted)) return self->ScheduleRenewal(kRetryDelayMs);
        self->lease_id = Value(granted);
        self->renewed_at = sent_at;
        self->registered = false;
        self->RegisterNode();
      });
}

void membership::impl::RegisterNode() {
  store::store_commit commit;
  commit.writes = {
      {NodeKey(self_member.name), EncodeMember(self_member), lease_id}};
  context.store->Commit(
      commit, [weak = weak_from_this()](
                  const result<store::commit_outcome>& registration) {
        const auto self = weak.lock();
        if (!self || self->stopped) return;
        self->registered = Ok(registration) && Value(registration).committed;
        if (Ok(registration) && Value(registration).lease_not_found)
          self->lease_id = 0;
        self->ScheduleRenewal(self->registered ? kLeaseRenewalIntervalMs
                                               : kRetryDelayMs);
        if (self->registered) self->UpdateRole();
      });
}

void membership::impl::ScheduleRenewal(millis delay) {
  renew_timer.expires_after(std::chrono::milliseconds(delay));
  renew_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->stopped) return;
        if (self->lease_id == 0) return self->RequestLease();
        if (!self->registered) return self->RegisterNode();
        self->RenewNodeLease();
      });
}

void membership::impl::RenewNodeLease() {
  const millis sent_at = context.now.Now();
  // The next renewal does not wait for the response to this one, which may take
  // longer than the lease lasts on a link that is full, nor for its failure.
  ScheduleRenewal(kLeaseRenewalIntervalMs);
  context.store->RenewLease(
      lease_id, [weak = weak_from_this(), sent_at,
                 lease = lease_id](const result<bool>& still_exists) {
        const auto self = weak.lock();
        if (!self || self->stopped || lease != self->lease_id) return;
        if (!Ok(still_exists)) return;
        if (Value(still_exists)) {
          self->renewed_at = std::max(self->renewed_at, sent_at);
          self->hooks.lease_renewed(sent_at);
          self->UpdateRole();
          return;
        }
        self->context.log.InfoUnlimited(
            "member", "lease expired, lease=" + std::to_string(lease));
        self->lease_id = 0;
        // ShardKey() expired with the lease, and a new lease does not restore
        // it.
        self->EndLeadership();
        self->DiscardPendingElection();
        self->RequestLease();
      });
}

void membership::impl::WatchMembers() {
  store_watch_options options;
  options.prefix = kMemberPrefix;
  options.wait_ms = kWatchWaitMs;
  store_watch_hooks watched;
  watched.snapshot = [this](const std::vector<store::store_item>& items) {
    context.members.Reset(items);
    snapshot_received = true;
    UpdateRole();
  };
  watched.change = [this](const store::store_item& item) {
    const std::uint64_t previous_fencing_token =
        context.members.Leader().fencing_token;
    context.members.Apply(item);
    const leader_record& record = context.members.Leader();
    if (record.fencing_token != previous_fencing_token) {
      context.log.InfoUnlimited(
          "member", "leader changed, node=" + record.node +
                        " fence=" + std::to_string(record.fencing_token));
    }
    UpdateRole();
  };
  member_watch =
      std::make_unique<store_watch>(context.io, *context.store, context.now,
                                    std::move(options), std::move(watched));
}

void membership::impl::EndLeadership() {
  if (current_fencing_token == 0) return;
  ended_fencing_token = std::exchange(current_fencing_token, 0);
  resignation_retry_ms = kResignationRetryMs;
  hooks.leadership_lost();
}

void membership::impl::DiscardPendingElection() {
  const leader_record& record = context.members.Leader();
  if (NamesThisProcess(record)) ended_fencing_token = record.fencing_token;
}

void membership::impl::UpdateRole() {
  if (!snapshot_received || stopped) return;
  const leader_record& record = context.members.Leader();
  // A leader record with an older fencing token does not end the leadership,
  // because the watch may lag behind this node's own election.
  if (current_fencing_token != 0 &&
      record.fencing_token != current_fencing_token &&
      (record.fencing_token > current_fencing_token || record.node.empty())) {
    EndLeadership();
  }
  if (!record.node.empty()) last_seen_leader = record.node;
  if (current_fencing_token == 0 && NamesThisProcess(record) &&
      record.fencing_token == ended_fencing_token) {
    return SendResignation();
  }
  if (current_fencing_token == 0 && !campaigning && NamesThisProcess(record) &&
      record.fencing_token != ended_fencing_token) {
    // This node was elected, but the reply to its commit was lost.
    return BecomeLeader(record.fencing_token);
  }
  if (current_fencing_token == 0 && MayCampaign(record)) ScheduleCampaign();
}

// No other node can be elected until the resignation is stored, because this
// node keeps renewing the lease that ShardKey() is bound to.
void membership::impl::SendResignation() {
  if (resignation_in_flight || stopped) return;
  resignation_in_flight = true;
  const millis now = context.now.Now();
  const term_record own_record{
      previous_term.term + 1,
      self_member.name,
      true,
      now - last_host_order_at,
      context.unix_now.Now(),
      std::max<millis>(0, predecessor_lease_end - now)};
  store::store_commit commit;
  commit.preconditions = {{ShardKey(), ended_fencing_token}};
  commit.removals = {ShardKey()};
  commit.writes = {{TermKey(), EncodeTerm(own_record), 0}};
  context.store->Commit(
      commit,
      [weak = weak_from_this()](const result<store::commit_outcome>& outcome) {
        const auto self = weak.lock();
        if (!self) return;
        self->resignation_in_flight = false;
        if (Ok(outcome)) return;
        self->context.log.Warning(
            "member", "resignation not stored, fence=" +
                          std::to_string(self->ended_fencing_token) +
                          " error=" + Error(outcome).message);
        self->RepeatResignation();
      });
}

void membership::impl::RepeatResignation() {
  resignation_timer.expires_after(
      std::chrono::milliseconds(resignation_retry_ms));
  resignation_retry_ms =
      std::min(2 * resignation_retry_ms, kMaxResignationRetryMs);
  resignation_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self) return;
        const leader_record& record = self->context.members.Leader();
        if (self->NamesThisProcess(record) &&
            record.fencing_token == self->ended_fencing_token) {
          self->SendResignation();
        }
      });
}

void membership::impl::ScheduleCampaign() {
  if (campaigning || !registered || context.stopping) return;
  campaigning = true;
  const auto rank = static_cast<millis>(context.members.Rank(self_member));
  const bool led_by_previous_process =
      context.members.Leader().node == self_member.name;
  const millis first_delay =
      last_seen_leader.empty() ? kFirstCampaignDelayMs : 0;
  const millis rank_delay =
      std::min(rank * kCampaignDelayPerRankMs, kMaxCampaignDelayMs);
  campaign_timer.expires_after(std::chrono::milliseconds(
      led_by_previous_process ? 0 : first_delay + rank_delay));
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
  if (current_fencing_token != 0 || !MayCampaign(record) || lease_id == 0 ||
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
    if (self->NamesPreviousProcess(record) &&
        self->context.members.HasMuchLargerNode(self->self_member)) {
      return self->ReleasePreviousProcessKey(Value(item).revision, before);
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
  commit.preconditions = {{ShardKey(), record.fencing_token},
                          {TermKey(), term_revision}};
  const term_record own_record{
      before.term + 1,        self_member.name,          false, 0,
      context.unix_now.Now(), PredecessorLeaseMs(before)};
  commit.writes = {{ShardKey(), EncodeMember(self_member), lease_id},
                   {TermKey(), EncodeTerm(own_record), 0}};
  previous_term = before;
  context.store->Commit(
      commit, [weak = weak_from_this()](
                  const result<store::commit_outcome>& election_outcome) {
        const auto self = weak.lock();
        if (!self || self->stopped) return;
        self->campaigning = false;
        self->ApplyElectionOutcome(election_outcome);
      });
}

// Called if an earlier process of this node is registered as the leader but a
// much larger node is available. Removes ShardKey() now, so that the other node
// need not wait until the lease of that process expires.
void membership::impl::ReleasePreviousProcessKey(std::uint64_t term_revision,
                                                 term_record before) {
  // The time of that process's last order to a host is not known, so the next
  // leader waits for the full pause.
  before.resigned = true;
  before.host_order_age_ms = 0;
  store::store_commit commit;
  commit.preconditions = {{ShardKey(), context.members.Leader().fencing_token},
                          {TermKey(), term_revision}};
  commit.removals = {ShardKey()};
  commit.writes = {{TermKey(), EncodeTerm(before), 0}};
  context.store->Commit(
      commit, [weak = weak_from_this()](const result<store::commit_outcome>&) {
        // The watch reports the removal of ShardKey(). If the commit failed,
        // the key expires with the lease of the earlier process.
        if (const auto self = weak.lock()) self->campaigning = false;
      });
}

void membership::impl::ApplyElectionOutcome(
    const result<store::commit_outcome>& outcome) {
  // The commit may have taken effect; the watch then reports the new leader.
  if (!Ok(outcome)) return;
  if (Value(outcome).committed) {
    store::store_item leader_item{ShardKey(), EncodeMember(self_member),
                                  Value(outcome).revision, lease_id};
    context.members.Apply(leader_item);
    return BecomeLeader(Value(outcome).revision);
  }
  for (const store::store_item& item : Value(outcome).current) {
    // Only the watch reports the end of a leader's term, in the right order
    // with the next election.
    if (item.key == ShardKey() && item.revision > 0) {
      context.members.Apply(item);
    }
  }
  UpdateRole();
}

millis membership::impl::PredecessorLeaseMs(const term_record& before) const {
  if (before.term == 0) return 0;
  return std::max(sched::term_lease::PredecessorLeaseEnd(
                      0, before.HasStopped(self_member.name)),
                  before.RemainingLease(context.unix_now.Now()));
}

// A term that begins without the permission to send orders would end at once.
void membership::impl::RenewLeaseBeforeTerm(std::uint64_t fencing_token) {
  if (waiting_fencing_token == fencing_token) return;
  waiting_fencing_token = fencing_token;
  context.log.InfoUnlimited(
      "member", "elected, lease to be renewed first, fence=" +
                    std::to_string(fencing_token) + " lease_age_ms=" +
                    std::to_string(context.now.Now() - renewed_at));
  RenewNodeLease();
}

void membership::impl::BecomeLeader(std::uint64_t fencing_token) {
  const millis now = context.now.Now();
  if (!sched::term_lease(renewed_at).MayIssueOrders(now)) {
    return RenewLeaseBeforeTerm(fencing_token);
  }
  current_fencing_token = fencing_token;
  last_seen_leader = self_member.name;
  const bool predecessor_stopped = previous_term.HasStopped(self_member.name);
  election won{.fencing_token = fencing_token,
               .term = previous_term.term + 1,
               .lease_renewed_at = renewed_at};
  if (previous_term.term > 0) {
    won.predecessor_lease_end = now + PredecessorLeaseMs(previous_term);
    const millis pause =
        context.settings.host_controller_pause_ms + kMaxOrderInFlightMs;
    won.moves_allowed_at =
        now + previous_term.MovePause(self_member.name, context.unix_now.Now(),
                                      pause);
    won.waves_allowed_at = now + previous_term.WavePause(pause);
  }
  context.log.InfoUnlimited(
      "member",
      "leading, fence=" + std::to_string(fencing_token) +
          " term=" + std::to_string(won.term) +
          " lease_age_ms=" + std::to_string(now - renewed_at) +
          " predecessor_silent=" + (predecessor_stopped ? "1" : "0") +
          " moves_free_in_ms=" +
          std::to_string(std::max<millis>(0, won.moves_allowed_at - now)));
  predecessor_lease_end = won.predecessor_lease_end;
  hooks.elected(won);
}

membership::membership(node_context& context, std::string peer_address,
                       membership_hooks hooks)
    : impl_(std::make_shared<impl>(context, std::move(peer_address),
                                   std::move(hooks))) {
  impl_->RequestLease();
  impl_->WatchMembers();
}

membership::~membership() {
  impl_->stopped = true;
  impl_->member_watch.reset();
  impl_->renew_timer.cancel();
  impl_->campaign_timer.cancel();
  impl_->resignation_timer.cancel();
}

bool membership::ShouldStepDown() const {
  return impl_->current_fencing_token != 0 &&
         impl_->context.members.HasMuchLargerNode(impl_->self_member);
}

void membership::Resign(millis host_order_age_ms) {
  const std::uint64_t fencing_token =
      std::exchange(impl_->current_fencing_token, 0);
  if (fencing_token == 0) return;
  impl_->ended_fencing_token = fencing_token;
  impl_->resignation_retry_ms = kResignationRetryMs;
  impl_->last_host_order_at = impl_->context.now.Now() - host_order_age_ms;
  impl_->SendResignation();
}

void membership::Leave(std::function<void()> done) {
  impl_->stopped = true;
  if (impl_->lease_id == 0) return done();
  impl_->context.store->RevokeLease(
      impl_->lease_id,
      [done = std::move(done)](const result<bool>&) { done(); });
}

}  // namespace radishwing::node

#include "src/node/membership.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "src/node/host_keeper.h"
#include "src/node/record_keys.h"
#include "src/node/store_watch.h"
#include "src/node/term_record.h"
#include "src/sched/term_lease.h"

namespace radishwing::node {
namespace {

constexpr millis kRenewMs = 450;
constexpr millis kRetryMs = 200;
constexpr millis kWatchMs = 1000;
// Nodes stand one after the other, so that they seldom collide.
constexpr millis kStandDelayMs = 120;
constexpr millis kLongestStandDelayMs = 960;
// All nodes start within 300 ms; the one with the most processor leads.
constexpr millis kFirstStandDelayMs = 400;

}  // namespace

struct membership::impl : std::enable_shared_from_this<membership::impl> {
  impl(node_context& context, std::string address, membership_hooks hooks)
      : context(context),
        hooks(std::move(hooks)),
        self_member{context.settings.name, std::move(address),
                    context.unix_now.Now(),
                    static_cast<int>(context.settings.cores * 1000)},
        renew_timer(context.io),
        stand_timer(context.io) {}

  void Grant();
  void Announce();
  void Renew();
  void RenewLater(millis delay);
  void Watch();
  void OnChange();
  /// The own leadership, if there is one, is over.
  void Depose();
  void StandLater();
  void Stand();
  void Elect(std::uint64_t term_revision, const term_record& before);
  void YieldPast(std::uint64_t term_revision, term_record before);
  void BecomeLeader(std::uint64_t fence);
  void SendResignation();
  void OnElected(const result<store::commit_outcome>& outcome);
  bool Leads(const leader_record& record) const {
    return record.node == self_member.name &&
           record.started_unix_ms == self_member.started_unix_ms;
  }

  /// An earlier run of this node led; it gives no orders any more.
  bool OwnPast(const leader_record& record) const {
    return record.node == self_member.name && !Leads(record);
  }
  bool MayStand(const leader_record& record) const {
    return record.node.empty() || OwnPast(record);
  }

  node_context& context;
  membership_hooks hooks;
  member self_member;
  std::uint64_t lease = 0;
  boost::asio::steady_timer renew_timer;
  boost::asio::steady_timer stand_timer;
  std::unique_ptr<store_watch> watch;
  std::string last_leader;
  term_record before_own;  ///< The term before the one that this node won.
  std::uint64_t over_fence = 0;  ///< Of the last own leadership that ended.
  millis renewed_at = 0;         ///< The lease runs from this call at least.
  std::uint64_t led_fence = 0;   ///< 0: this node does not lead.
  millis host_ordered_at = 0;    ///< Last order to a host of that leadership.
  bool resigning = false;
  bool synced = false;
  bool announced = false;
  bool standing = false;
  bool left = false;
};

void membership::impl::Grant() {
  const millis sent_at = context.now.Now();
  context.store->GrantLease(
      sched::kNodeLeaseMs,
      [weak = weak_from_this(), sent_at](const result<std::uint64_t>& granted) {
        const auto self = weak.lock();
        if (!self || self->left) return;
        if (!Ok(granted)) return self->RenewLater(kRetryMs);
        self->lease = Value(granted);
        self->renewed_at = sent_at;
        self->announced = false;
        self->Announce();
      });
}

void membership::impl::Announce() {
  store::store_commit commit;
  commit.writes = {
      {NodeKey(self_member.name), EncodeMember(self_member), lease}};
  context.store->Commit(commit, [weak = weak_from_this()](
                                    const result<store::commit_outcome>& done) {
    const auto self = weak.lock();
    if (!self || self->left) return;
    self->announced = Ok(done) && Value(done).committed;
    if (Ok(done) && Value(done).lease_gone) self->lease = 0;
    self->RenewLater(self->announced ? kRenewMs : kRetryMs);
    if (self->announced) self->OnChange();
  });
}

void membership::impl::RenewLater(millis delay) {
  renew_timer.expires_after(std::chrono::milliseconds(delay));
  renew_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->left) return;
        if (self->lease == 0) return self->Grant();
        if (!self->announced) return self->Announce();
        self->Renew();
      });
}

void membership::impl::Renew() {
  const millis sent_at = context.now.Now();
  context.store->KeepLease(
      lease, [weak = weak_from_this(), sent_at](const result<bool>& kept) {
        const auto self = weak.lock();
        if (!self || self->left) return;
        if (!Ok(kept)) return self->RenewLater(kRetryMs);
        if (Value(kept)) {
          self->renewed_at = sent_at;
          self->hooks.renewed(sent_at);
          self->OnChange();
          return self->RenewLater(kRenewMs);
        }
        self->context.log.Always(
            "member", "lease ran out, lease=" + std::to_string(self->lease));
        self->lease = 0;
        // The shard's key has gone with the lease; a new one renews nothing.
        self->Depose();
        self->Grant();
      });
}

void membership::impl::Watch() {
  store_watch_options options;
  options.prefix = kMemberPrefix;
  options.wait_ms = kWatchMs;
  store_watch_hooks watched;
  watched.snapshot = [this](const std::vector<store::store_item>& items) {
    context.members.Reset(items);
    synced = true;
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

void membership::impl::Depose() {
  if (led_fence == 0) return;
  over_fence = std::exchange(led_fence, 0);
  hooks.deposed();
}

void membership::impl::OnChange() {
  if (!synced || left) return;
  const leader_record& record = context.members.Leader();
  // A watch may lag behind the own election: only a newer record deposes.
  if (led_fence != 0 && record.fence != led_fence &&
      (record.fence > led_fence || record.node.empty())) {
    Depose();
  }
  if (!record.node.empty()) last_leader = record.node;
  if (led_fence == 0 && Leads(record) && record.fence == over_fence) {
    return SendResignation();
  }
  if (led_fence == 0 && !standing && Leads(record) &&
      record.fence != over_fence) {
    // The answer to the own election was lost.
    return BecomeLeader(record.fence);
  }
  if (led_fence == 0 && MayStand(record)) StandLater();
}

// The shard's key goes with the node's lease, which this node goes on renewing:
// until the resignation is kept nobody else can lead.
void membership::impl::SendResignation() {
  if (resigning || left) return;
  resigning = true;
  const term_record own{before_own.term + 1, self_member.name, true,
                        context.now.Now() - host_ordered_at,
                        context.unix_now.Now()};
  store::store_commit commit;
  commit.expected = {{ShardKey(), over_fence}};
  commit.removals = {ShardKey()};
  commit.writes = {{TermKey(), EncodeTerm(own), 0}};
  context.store->Commit(
      commit,
      [weak = weak_from_this()](const result<store::commit_outcome>& outcome) {
        const auto self = weak.lock();
        if (!self) return;
        self->resigning = false;
        if (Ok(outcome)) return;
        // The next renewal sends it again.
        self->context.log.Warning(
            "member",
            "resignation not kept, fence=" + std::to_string(self->over_fence) +
                " error=" + Error(outcome).message);
      });
}

void membership::impl::StandLater() {
  if (standing || !announced || context.stopping) return;
  standing = true;
  const auto rank = static_cast<millis>(context.members.Rank(self_member));
  const bool own_past = context.members.Leader().node == self_member.name;
  const millis first = last_leader.empty() ? kFirstStandDelayMs : 0;
  const millis turn = std::min(rank * kStandDelayMs, kLongestStandDelayMs);
  stand_timer.expires_after(
      std::chrono::milliseconds(own_past ? 0 : first + turn));
  stand_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!self || self->left) return;
        if (error) {
          self->standing = false;
          return;
        }
        self->Stand();
      });
}

void membership::impl::Stand() {
  const leader_record& record = context.members.Leader();
  if (led_fence != 0 || !MayStand(record) || lease == 0 || context.stopping ||
      context.CutFromStore()) {
    standing = false;
    return;
  }
  context.store->Get(TermKey(), [weak = weak_from_this()](
                                    const result<store::store_item>& item) {
    const auto self = weak.lock();
    if (!self || self->left) return;
    if (!Ok(item)) {
      self->standing = false;
      return;
    }
    const term_record before = DecodeTerm(Value(item).value);
    const leader_record& record = self->context.members.Leader();
    if (self->OwnPast(record) &&
        self->context.members.HasMuchLarger(self->self_member)) {
      return self->YieldPast(Value(item).revision, before);
    }
    self->Elect(Value(item).revision, before);
  });
}

void membership::impl::Elect(std::uint64_t term_revision,
                             const term_record& before) {
  const leader_record record = context.members.Leader();
  // Somebody may have been elected while the term was read.
  if (!MayStand(record)) {
    standing = false;
    return;
  }
  store::store_commit commit;
  commit.expected = {{ShardKey(), record.fence}, {TermKey(), term_revision}};
  const term_record own{before.term + 1, self_member.name, false, 0,
                        context.unix_now.Now()};
  commit.writes = {{ShardKey(), EncodeMember(self_member), lease},
                   {TermKey(), EncodeTerm(own), 0}};
  before_own = before;
  context.store->Commit(commit, [weak = weak_from_this()](
                                    const result<store::commit_outcome>& done) {
    const auto self = weak.lock();
    if (!self || self->left) return;
    self->standing = false;
    self->OnElected(done);
  });
}

// An earlier run of this node led, but a larger node had better do so now: its
// key is removed instead of waiting for its lease.
void membership::impl::YieldPast(std::uint64_t term_revision,
                                 term_record before) {
  // When that run gave its last order to a host is not known.
  before.resigned = true;
  before.host_order_age_ms = 0;
  store::store_commit commit;
  commit.expected = {{ShardKey(), context.members.Leader().fence},
                     {TermKey(), term_revision}};
  commit.removals = {ShardKey()};
  commit.writes = {{TermKey(), EncodeTerm(before), 0}};
  context.store->Commit(
      commit, [weak = weak_from_this()](const result<store::commit_outcome>&) {
        // The watch shows the outcome; without one the lease ends the key.
        if (const auto self = weak.lock()) self->standing = false;
      });
}

void membership::impl::OnElected(const result<store::commit_outcome>& outcome) {
  if (!Ok(outcome)) return;  // The watch shows it if it was carried out.
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
  led_fence = fence;
  last_leader = self_member.name;
  const millis now = context.now.Now();
  const bool silent = before_own.Silent(self_member.name);
  election won{.fence = fence,
               .term = before_own.term + 1,
               .lease_renewed_at = renewed_at};
  if (before_own.term > 0) {
    won.predecessor_until = sched::term_lease::PredecessorOver(now, silent);
    const millis pause = context.settings.duty_lease_ms + kHolderMarginMs;
    won.moves_free_at =
        now +
        before_own.MovePause(self_member.name, context.unix_now.Now(), pause);
    won.waves_free_at = now + before_own.WavePause(pause);
  }
  context.log.Always(
      "member",
      "leading, fence=" + std::to_string(fence) +
          " term=" + std::to_string(won.term) +
          " predecessor_silent=" + (silent ? "1" : "0") + " moves_free_in_ms=" +
          std::to_string(std::max<millis>(0, won.moves_free_at - now)));
  hooks.elected(won);
}

membership::membership(node_context& context, std::string peer_address,
                       membership_hooks hooks)
    : impl_(std::make_shared<impl>(context, std::move(peer_address),
                                   std::move(hooks))) {
  impl_->Grant();
  impl_->Watch();
}

membership::~membership() {
  impl_->left = true;
  impl_->watch.reset();
  impl_->renew_timer.cancel();
  impl_->stand_timer.cancel();
}

bool membership::ShouldYield() const {
  return impl_->led_fence != 0 &&
         impl_->context.members.HasMuchLarger(impl_->self_member);
}

void membership::Resign(millis host_order_age_ms) {
  const std::uint64_t fence = std::exchange(impl_->led_fence, 0);
  if (fence == 0) return;
  impl_->over_fence = fence;
  impl_->host_ordered_at = impl_->context.now.Now() - host_order_age_ms;
  impl_->SendResignation();
}

void membership::Leave(std::function<void()> done) {
  impl_->left = true;
  if (impl_->lease == 0) return done();
  impl_->context.store->EndLease(
      impl_->lease, [done = std::move(done)](const result<bool>&) { done(); });
}

}  // namespace radishwing::node

#include "src/node/refusal_guard.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <deque>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "src/base/json_fields.h"
#include "src/node/record_keys.h"

namespace radishwing::node {
namespace {

// Guards are attached to a lease that is not renewed, so the store removes them
// by itself. The guards of one period share a lease, so a guard exists for at
// least kLeaseMs - kLeasePeriodMs, which is longer than a node pursues a
// submission and the store takes to carry out a late write, together.
constexpr millis kLeaseMs = 60000;
constexpr millis kLeasePeriodMs = 20000;
// The store accepts 32 entries per commit; each guard takes three: a write and
// the preconditions on the job's key and on its own.
constexpr std::size_t kMaxGuardsPerCommit = 10;
// Commits of guards that are not full, of all nodes together. The store accepts
// 1,200 writes per second, which accepted jobs need during an overload.
constexpr std::size_t kPartialCommitsPerSecond = 200;
constexpr millis kMaxCommitIntervalMs = 500;
// Commits of a guard that the store may reject because of others in the commit,
// or because the lease has ended.
constexpr int kMaxAttempts = 5;

using outcome_kind = guard_outcome::kind;

const store::store_item* FindItem(std::span<const store::store_item> items,
                                  std::string_view key) {
  const auto it = std::ranges::find(items, key, &store::store_item::key);
  return it == items.end() ? nullptr : &*it;
}

std::string EncodeRetryTime(millis retry_at_unix_ms) {
  return boost::json::serialize(
      boost::json::object{{"retry_at", retry_at_unix_ms}});
}

guard_outcome MakeOutcome(outcome_kind kind, std::uint64_t revision = 0) {
  guard_outcome outcome;
  outcome.result = kind;
  outcome.revision = revision;
  return outcome;
}

// Outcome of a call that failed with `error`.
guard_outcome OutcomeOf(const failure& error) {
  return MakeOutcome(error.kind == failure_kind::kUnavailable
                         ? outcome_kind::kUnavailable
                         : outcome_kind::kUnknown);
}

}  // namespace

millis DecodeRetryTime(std::string_view guard) {
  auto parsed = json_fields::Parse("refusal", guard);
  return Ok(parsed) ? Value(parsed).Signed("retry_at") : 0;
}

struct refusal_guard::impl : std::enable_shared_from_this<refusal_guard::impl> {
  struct pending_guard {
    std::string id;  ///< Of the job.
    std::uint64_t known_revision = 0;
    millis retry_at_unix_ms = 0;
    completion done;
    int attempts_left = kMaxAttempts;
  };
  using batch = std::shared_ptr<std::vector<pending_guard>>;

  impl(node_context& context, std::function<std::size_t()> count_nodes)
      : context(context),
        count_nodes(std::move(count_nodes)),
        timer(context.io) {}

  /// Sends a commit with the waiting guards, unless a call is in flight or the
  /// commit has to wait for further guards.
  void SendNext();
  /// Returns the time until a commit that is not full may be sent.
  millis CommitDelay() const;
  void SendLater(millis delay);
  void GrantLease();
  void FailAll(const guard_outcome& outcome);
  void SendCommit();
  void OnCommit(const batch& guards, const result<store::commit_outcome>& done);
  /// Completes the guards that the rejected commit decides; the others wait for
  /// the next one.
  void ResolveConflict(const batch& guards,
                       const store::commit_outcome& outcome);
  void RetryOrGiveUp(pending_guard guard);

  node_context& context;
  std::function<std::size_t()> count_nodes;
  boost::asio::steady_timer timer;  ///< Delays a commit that is not full.
  bool timer_pending = false;
  millis committed_at = -kMaxCommitIntervalMs;  ///< Time of the last commit.
  std::deque<pending_guard> waiting;
  /// Guards of which a response has shown the state of the keys. They are sent
  /// apart from the others, so that these do not make the store reject them.
  std::deque<pending_guard> checked;
  bool in_flight = false;   ///< A grant or a commit awaits its response.
  std::uint64_t lease = 0;  ///< 0: none.
  millis lease_granted_at = 0;
};

void refusal_guard::impl::SendNext() {
  if (in_flight || (waiting.empty() && checked.empty())) return;
  const bool may_wait = checked.empty() && waiting.size() < kMaxGuardsPerCommit;
  const millis delay = may_wait ? CommitDelay() : 0;
  if (delay > 0) return SendLater(delay);
  in_flight = true;
  const bool usable =
      lease != 0 && context.now.Now() - lease_granted_at < kLeasePeriodMs;
  usable ? SendCommit() : GrantLease();
}

millis refusal_guard::impl::CommitDelay() const {
  const auto interval =
      static_cast<millis>(count_nodes() * 1000 / kPartialCommitsPerSecond);
  return committed_at + std::min(interval, kMaxCommitIntervalMs) -
         context.now.Now();
}

void refusal_guard::impl::SendLater(millis delay) {
  if (timer_pending) return;
  timer_pending = true;
  timer.expires_after(std::chrono::milliseconds(delay));
  timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (error || !self) return;
    self->timer_pending = false;
    self->SendNext();
  });
}

void refusal_guard::impl::GrantLease() {
  const millis sent_at = context.now.Now();
  context.store->GrantLease(
      kLeaseMs,
      [weak = weak_from_this(), sent_at](const result<std::uint64_t>& granted) {
        const auto self = weak.lock();
        if (!self) return;
        if (Ok(granted)) {
          self->lease = Value(granted);
          self->lease_granted_at = sent_at;
          return self->SendCommit();
        }
        self->in_flight = false;
        self->FailAll(OutcomeOf(Error(granted)));
        self->SendNext();
      });
}

void refusal_guard::impl::FailAll(const guard_outcome& outcome) {
  for (std::deque<pending_guard>* guards : {&waiting, &checked}) {
    for (pending_guard& guard : std::exchange(*guards, {})) {
      guard.done(outcome);
    }
  }
}

void refusal_guard::impl::SendCommit() {
  committed_at = context.now.Now();
  auto guards = std::make_shared<std::vector<pending_guard>>();
  store::store_commit commit;
  std::deque<pending_guard>& queue = checked.empty() ? waiting : checked;
  while (!queue.empty() && guards->size() < kMaxGuardsPerCommit) {
    // A commit may contain a key only once.
    if (std::ranges::find(*guards, queue.front().id, &pending_guard::id) !=
        guards->end()) {
      break;
    }
    pending_guard guard = std::move(queue.front());
    queue.pop_front();
    const std::string key = RefusalKey(guard.id);
    commit.preconditions.push_back({JobKey(guard.id), 0});
    commit.preconditions.push_back({key, guard.known_revision});
    commit.writes.push_back(
        {key, EncodeRetryTime(guard.retry_at_unix_ms), lease});
    guards->push_back(std::move(guard));
  }
  context.store->Commit(commit,
                        [weak = weak_from_this(),
                         guards](const result<store::commit_outcome>& outcome) {
                          if (const auto self = weak.lock())
                            self->OnCommit(guards, outcome);
                        });
}

void refusal_guard::impl::OnCommit(
    const batch& guards, const result<store::commit_outcome>& outcome) {
  in_flight = false;
  if (!Ok(outcome)) {
    for (pending_guard& guard : *guards) {
      guard.done(OutcomeOf(Error(outcome)));
    }
  } else if (Value(outcome).committed) {
    for (pending_guard& guard : *guards) {
      guard.done(MakeOutcome(outcome_kind::kGuarded, Value(outcome).revision));
    }
  } else if (Value(outcome).lease_not_found) {
    lease = 0;
    for (pending_guard& guard : *guards) RetryOrGiveUp(std::move(guard));
  } else {
    ResolveConflict(guards, Value(outcome));
  }
  SendNext();
}

void refusal_guard::impl::ResolveConflict(
    const batch& guards, const store::commit_outcome& outcome) {
  for (pending_guard& guard : *guards) {
    const store::store_item* job = FindItem(outcome.current, JobKey(guard.id));
    const store::store_item* other =
        FindItem(outcome.current, RefusalKey(guard.id));
    if (job && job->revision > 0) {
      guard_outcome stored = MakeOutcome(outcome_kind::kStored, job->revision);
      stored.record = job->value;
      guard.done(stored);
    } else if (other && other->revision > 0 &&
               other->revision != guard.known_revision) {
      guard_outcome refused =
          MakeOutcome(outcome_kind::kOtherRefusal, other->revision);
      refused.retry_at_unix_ms = DecodeRetryTime(other->value);
      guard.done(refused);
    } else {
      if (other) guard.known_revision = other->revision;
      RetryOrGiveUp(std::move(guard));
    }
  }
}

void refusal_guard::impl::RetryOrGiveUp(pending_guard guard) {
  if (--guard.attempts_left <= 0) {
    return guard.done(MakeOutcome(outcome_kind::kUnknown));
  }
  checked.push_back(std::move(guard));
}

refusal_guard::refusal_guard(node_context& context,
                             std::function<std::size_t()> count_nodes)
    : impl_(std::make_shared<impl>(context, std::move(count_nodes))) {}

refusal_guard::~refusal_guard() = default;

void refusal_guard::Guard(const std::string& id, std::uint64_t known_revision,
                          millis retry_at_unix_ms, completion done) {
  auto& queue = known_revision > 0 ? impl_->checked : impl_->waiting;
  queue.push_back({id, known_revision, retry_at_unix_ms, std::move(done)});
  impl_->SendNext();
}

}  // namespace radishwing::node

#include "src/node/runner_link.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "src/sched/term_lease.h"

namespace radishwing::node {
namespace {

// Longest time that a poll waits for a run to end; runners allow 2,000 ms.
constexpr millis kPollWaitMs = 1000;
constexpr millis kIdlePollWaitMs = 2000;
constexpr millis kRetryDelayMs = 250;
// Longest deferral of a poll while the last listing is not applied or its run
// ends are not stored.
constexpr millis kMaxDeferralMs = 300;

}  // namespace

struct runner_link::impl : std::enable_shared_from_this<runner_link::impl> {
  impl(node_context& context, std::uint64_t fencing_token,
       fleet::runner_report report, millis predecessor_lease_end,
       runner_link_hooks hooks)
      : context(context),
        fencing_token(fencing_token),
        report(std::move(report)),
        lease_until(predecessor_lease_end),
        hooks(std::move(hooks)),
        poll_timer(context.io) {}

  bool Connect();
  void Poll();
  void OnPollAnswer(const platform::hold_response& answer, millis sent_at);
  void OnPollFailed(fleet::order_outcome outcome);
  void SetReachable(bool now_reachable);
  void CheckLeaseExpiry();
  millis ExtendLease();
  void PollLater(millis delay);

  node_context& context;
  std::uint64_t fencing_token;
  fleet::runner_report report;
  std::unique_ptr<platform::runner_client> client;
  /// All runs there have ended by then, on this node's clock.
  millis lease_until;
  runner_link_hooks hooks;
  boost::asio::steady_timer poll_timer;
  std::uint64_t acknowledged = 0;
  millis runner_clock = -1;  ///< As of `clock_read_at`.
  millis clock_read_at = 0;
  millis process_start_unix_ms = 0;
  bool reachable = false;
  bool listing_applied = false;  ///< The leader used the last listing.
  bool busy = false;
  bool poll_in_flight = false;
  bool lease_expiry_reported = false;
  bool stopped = false;
};

bool runner_link::impl::Connect() {
  if (client) return true;
  auto created =
      platform::runner_client::Make(context.io, report.address, report.id);
  if (!Ok(created)) {
    context.log.Warning("runner",
                        "invalid runner address, runner=" + report.id +
                            " error=" + Error(created).message);
    return false;
  }
  client = std::move(Value(created));
  return true;
}

// Returns the lease's end on the runner's clock for a call that is sent now.
millis runner_link::impl::ExtendLease() {
  if (runner_clock < 0) return 0;
  const millis now = context.now.Now();
  const millis lease_ms =
      std::min(sched::kRunnerLeaseMs,
               context.settings.max_lease_ms - sched::kRunnerLeaseMarginMs);
  // A slow runner clock lengthens the lease, and it makes the estimate of that
  // clock too high by the same fraction of the estimate's age.
  const millis drift =
      (lease_ms + (now - clock_read_at)) * sched::kClockDriftPermille / 1000;
  lease_until = std::max(lease_until,
                         now + lease_ms + drift + sched::kRunnerLeaseMarginMs);
  lease_expiry_reported = false;
  return runner_clock + (now - clock_read_at) + lease_ms;
}

void runner_link::impl::PollLater(millis delay) {
  poll_timer.expires_after(std::chrono::milliseconds(delay));
  poll_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->stopped) self->Poll();
      });
}

void runner_link::impl::Poll() {
  if (poll_in_flight || stopped || !hooks.may_send_orders()) return;
  if (!Connect()) return PollLater(kRetryDelayMs);
  poll_in_flight = true;
  platform::hold_request call;
  call.fence = fencing_token;
  call.ack_cursor = acknowledged;
  // A poll without an answer may still have reached the runner: extending the
  // lease of an unreachable runner would keep its tasks from ever being started
  // elsewhere.
  call.lease_until_ms = reachable ? ExtendLease() : 0;
  // Until a listing has been applied, it is not known what runs there.
  const bool immediate = !reachable || !listing_applied;
  call.wait_ms = immediate ? 0 : busy ? kPollWaitMs : kIdlePollWaitMs;
  const millis sent_at = context.now.Now();
  client->Hold(call, [weak = weak_from_this(),
                      sent_at](const platform::hold_response& answer) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    self->poll_in_flight = false;
    self->OnPollAnswer(answer, sent_at);
  });
}

void runner_link::impl::OnPollAnswer(const platform::hold_response& answer,
                                     millis sent_at) {
  using fleet::order_outcome;
  if (answer.outcome == order_outcome::kFenced) return hooks.fenced();
  if (answer.outcome == order_outcome::kWrongInstance) {
    SetReachable(false);
    lease_until = 0;
    CheckLeaseExpiry();
    return PollLater(4 * kRetryDelayMs);
  }
  if (answer.outcome != order_outcome::kAccepted) {
    return OnPollFailed(answer.outcome);
  }
  const fleet::runner_listing& listing = answer.listing;
  if (process_start_unix_ms != 0 &&
      listing.started_unix_ms != process_start_unix_ms) {
    acknowledged = 0;
    hooks.restarted(report.id);
  }
  process_start_unix_ms = listing.started_unix_ms;
  runner_clock = listing.runner_clock_ms;
  clock_read_at = context.now.Now();
  SetReachable(true);
  const listing_result listing_outcome =
      hooks.listing(report.id, listing, sent_at);
  if (stopped) return;
  listing_applied = listing_outcome != listing_result::kNotReady;
  if (listing_outcome == listing_result::kApplied) {
    Poll();
  } else {
    PollLater(kMaxDeferralMs);
  }
}

void runner_link::impl::OnPollFailed(fleet::order_outcome outcome) {
  if (reachable) {
    context.log.Warning("runner",
                        "runner unreachable, runner=" + report.id +
                            " outcome=" + fleet::OrderOutcomeName(outcome));
  }
  SetReachable(false);
  CheckLeaseExpiry();
  PollLater(kRetryDelayMs);
}

void runner_link::impl::SetReachable(bool now_reachable) {
  if (reachable == now_reachable) return;
  reachable = now_reachable;
  if (reachable) {
    context.log.Info("runner", "runner reachable, runner=" + report.id +
                                   " pool=" + report.pool);
  }
  hooks.reachable(report.id, reachable);
}

void runner_link::impl::CheckLeaseExpiry() {
  if (lease_expiry_reported || context.now.Now() < lease_until) return;
  lease_expiry_reported = hooks.lease_expired(report.id);
}

runner_link::runner_link(node_context& context, std::uint64_t fencing_token,
                         fleet::runner_report report,
                         millis predecessor_lease_end, runner_link_hooks hooks)
    : impl_(std::make_shared<impl>(context, fencing_token, std::move(report),
                                   predecessor_lease_end, std::move(hooks))) {
  impl_->Poll();
}

runner_link::~runner_link() {
  impl_->stopped = true;
  impl_->poll_timer.cancel();
  impl_->client.reset();
}

const fleet::runner_report& runner_link::Report() const {
  return impl_->report;
}

void runner_link::Update(const fleet::runner_report& report) {
  if (report.address != impl_->report.address) impl_->client.reset();
  impl_->report = report;
}

void runner_link::SetBusy(bool busy) { impl_->busy = busy; }

void runner_link::Acknowledge(std::uint64_t number) {
  impl_->acknowledged = std::max(impl_->acknowledged, number);
}

void runner_link::ResumePolling() {
  if (!impl_->poll_in_flight && impl_->reachable) {
    impl_->poll_timer.cancel();
    impl_->Poll();
  }
}

bool runner_link::Reachable() const { return impl_->reachable; }

bool runner_link::LeaseExpired() const {
  return impl_->context.now.Now() >= impl_->lease_until;
}

void runner_link::Send(const sched::order& order,
                       std::function<void(fleet::order_outcome)> done) {
  const bool start = order.kind == sched::order_kind::kStart;
  if (!impl_->hooks.may_send_orders() || !impl_->Connect() ||
      impl_->runner_clock < 0 || (start && !impl_->reachable)) {
    return done(fleet::order_outcome::kNotSent);
  }
  auto on_answer = [weak = std::weak_ptr<impl>(impl_),
                    done = std::move(done)](fleet::order_outcome outcome) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    if (outcome == fleet::order_outcome::kFenced) return self->hooks.fenced();
    done(outcome);
  };
  switch (order.kind) {
    case sched::order_kind::kStart: {
      platform::start_request call;
      call.task = order.task;
      call.run = order.run;
      call.spec = order.spec;
      call.checkpoint = order.checkpoint;
      call.ticket = order.ticket;
      call.lease_until_ms = impl_->ExtendLease();
      call.fence = impl_->fencing_token;
      impl_->client->Start(call, std::move(on_answer));
      return;
    }
    case sched::order_kind::kStop:
      impl_->client->Stop(order.task, order.run, impl_->fencing_token,
                          std::move(on_answer));
      return;
    case sched::order_kind::kPace:
      impl_->client->Pace(order.task, order.run, order.percent,
                          impl_->fencing_token, std::move(on_answer));
      return;
  }
}

}  // namespace radishwing::node

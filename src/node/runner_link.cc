#include "src/node/runner_link.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "src/sched/term_lease.h"

namespace radishwing::node {
namespace {

// Longest wait of a look for an end; runners allow 2,000.
constexpr millis kLookWaitMs = 1000;
constexpr millis kIdleLookWaitMs = 2000;
constexpr millis kRetryMs = 250;
// Looks are put off no longer than this for ends that are not kept yet.
constexpr millis kPutOffMs = 300;

}  // namespace

struct runner_link::impl : std::enable_shared_from_this<runner_link::impl> {
  impl(node_context& context, std::uint64_t fence, fleet::runner_report report,
       millis predecessor_until, runner_link_hooks hooks)
      : context(context),
        fence(fence),
        report(std::move(report)),
        lease_until(predecessor_until),
        hooks(std::move(hooks)),
        pause(context.io) {}

  bool Connect();
  void Look();
  void OnLook(const platform::hold_answer& answer, millis sent_at);
  void OnSilence(fleet::order_outcome outcome);
  void SetReachable(bool now_reachable);
  void CheckLease();
  millis ExtendLease();
  void LookLater(millis delay);

  node_context& context;
  std::uint64_t fence;
  fleet::runner_report report;
  std::unique_ptr<platform::runner_client> client;
  /// Whatever runs has ended by then, on this node's clock.
  millis lease_until;
  runner_link_hooks hooks;
  boost::asio::steady_timer pause;
  std::uint64_t acknowledged = 0;
  millis runner_clock = -1;  ///< As of `clock_read_at`.
  millis clock_read_at = 0;
  millis born = 0;
  bool reachable = false;
  bool used = false;  ///< The last listing was used.
  bool busy = false;
  bool looking = false;
  bool lease_over_told = false;
  bool stopped = false;
};

bool runner_link::impl::Connect() {
  if (client) return true;
  auto made =
      platform::runner_client::Make(context.io, report.address, report.id);
  if (!Ok(made)) {
    context.log.Warning("runner", "address unusable, runner=" + report.id +
                                      " error=" + Error(made).message);
    return false;
  }
  client = std::move(Value(made));
  return true;
}

// Returns the lease's end on the runner's clock, for the call sent now.
millis runner_link::impl::ExtendLease() {
  if (runner_clock < 0) return 0;
  const millis now = context.now.Now();
  const millis length =
      std::min(sched::kRunnerLeaseMs,
               context.settings.max_lease_ms - sched::kRunnerLeaseMarginMs);
  // A slow clock of the runner stretches the lease, and it makes our estimate
  // of that clock too high by the same share of its age.
  const millis drift =
      (length + (now - clock_read_at)) * sched::kClockDriftPermille / 1000;
  lease_until =
      std::max(lease_until, now + length + drift + sched::kRunnerLeaseMarginMs);
  lease_over_told = false;
  return runner_clock + (now - clock_read_at) + length;
}

void runner_link::impl::LookLater(millis delay) {
  pause.expires_after(std::chrono::milliseconds(delay));
  pause.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->stopped) self->Look();
  });
}

void runner_link::impl::Look() {
  if (looking || stopped || !hooks.may_order()) return;
  if (!Connect()) return LookLater(kRetryMs);
  looking = true;
  platform::hold_call call;
  call.fence = fence;
  call.ack_cursor = acknowledged;
  // A look without an answer may still be carried out: extending the lease of
  // a silent runner would keep its tasks from ever being started elsewhere.
  call.lease_until_ms = reachable ? ExtendLease() : 0;
  // What runs there is not known before a listing was used.
  const bool at_once = !reachable || !used;
  call.wait_ms = at_once ? 0 : busy ? kLookWaitMs : kIdleLookWaitMs;
  const millis sent_at = context.now.Now();
  client->Hold(call, [weak = weak_from_this(),
                      sent_at](const platform::hold_answer& answer) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    self->looking = false;
    self->OnLook(answer, sent_at);
  });
}

void runner_link::impl::OnLook(const platform::hold_answer& answer,
                               millis sent_at) {
  using fleet::order_outcome;
  if (answer.outcome == order_outcome::kFenced) return hooks.fenced();
  if (answer.outcome == order_outcome::kOtherInstance) {
    SetReachable(false);
    lease_until = 0;
    CheckLease();
    return LookLater(4 * kRetryMs);
  }
  if (answer.outcome != order_outcome::kAccepted) {
    return OnSilence(answer.outcome);
  }
  const fleet::runner_listing& listing = answer.listing;
  if (born != 0 && listing.born_unix_ms != born) {
    acknowledged = 0;
    hooks.reborn(report.id);
  }
  born = listing.born_unix_ms;
  runner_clock = listing.runner_clock_ms;
  clock_read_at = context.now.Now();
  SetReachable(true);
  const listing_use use = hooks.listing(report.id, listing, sent_at);
  if (stopped) return;
  used = use != listing_use::kNotReady;
  if (use == listing_use::kTaken) {
    Look();
  } else {
    LookLater(kPutOffMs);
  }
}

void runner_link::impl::OnSilence(fleet::order_outcome outcome) {
  if (reachable) {
    context.log.Warning("runner",
                        "runner lost, runner=" + report.id +
                            " outcome=" + fleet::OrderOutcomeName(outcome));
  }
  SetReachable(false);
  CheckLease();
  LookLater(kRetryMs);
}

void runner_link::impl::SetReachable(bool now_reachable) {
  if (reachable == now_reachable) return;
  reachable = now_reachable;
  if (reachable) {
    context.log.Info("runner", "runner answers, runner=" + report.id +
                                   " pool=" + report.pool);
  }
  hooks.reachable(report.id, reachable);
}

void runner_link::impl::CheckLease() {
  if (lease_over_told || context.now.Now() < lease_until) return;
  lease_over_told = hooks.lease_over(report.id);
}

runner_link::runner_link(node_context& context, std::uint64_t fence,
                         fleet::runner_report report, millis predecessor_until,
                         runner_link_hooks hooks)
    : impl_(std::make_shared<impl>(context, fence, std::move(report),
                                   predecessor_until, std::move(hooks))) {
  impl_->Look();
}

runner_link::~runner_link() {
  impl_->stopped = true;
  impl_->pause.cancel();
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

void runner_link::Continue() {
  if (!impl_->looking && impl_->reachable) {
    impl_->pause.cancel();
    impl_->Look();
  }
}

bool runner_link::Reachable() const { return impl_->reachable; }

bool runner_link::LeaseOver() const {
  return impl_->context.now.Now() >= impl_->lease_until;
}

void runner_link::Send(const sched::order& order,
                       std::function<void(fleet::order_outcome)> done) {
  const bool start = order.kind == sched::order_kind::kStart;
  if (!impl_->hooks.may_order() || !impl_->Connect() ||
      impl_->runner_clock < 0 || (start && !impl_->reachable)) {
    return done(fleet::order_outcome::kNotSent);
  }
  auto answered = [weak = std::weak_ptr<impl>(impl_),
                   done = std::move(done)](fleet::order_outcome outcome) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    if (outcome == fleet::order_outcome::kFenced) return self->hooks.fenced();
    done(outcome);
  };
  switch (order.kind) {
    case sched::order_kind::kStart: {
      platform::start_call call;
      call.task = order.task;
      call.run = order.run;
      call.spec = order.spec;
      call.checkpoint = order.checkpoint;
      call.ticket = order.ticket;
      call.lease_until_ms = impl_->ExtendLease();
      call.fence = impl_->fence;
      impl_->client->Start(call, std::move(answered));
      return;
    }
    case sched::order_kind::kStop:
      impl_->client->Stop(order.task, order.run, impl_->fence,
                          std::move(answered));
      return;
    case sched::order_kind::kPace:
      impl_->client->Pace(order.task, order.run, order.percent, impl_->fence,
                          std::move(answered));
      return;
  }
}

}  // namespace radishwing::node

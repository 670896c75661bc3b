#include "src/node/runner_link.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "src/sched/term_lease.h"

namespace radishwing::node {
namespace {

// Longest time for which a runner delays its response to a poll until a run
// ends; runners accept at most 2,000 ms.
constexpr millis kPollWaitMs = 1000;
// Replaces kPollWaitMs for a runner without tasks.
constexpr millis kIdlePollWaitMs = 2000;
// Delay between a failed poll and the next one.
constexpr millis kRetryDelayMs = 250;
// Longest time for which the next poll is deferred because run ends in the last
// listing are not stored yet.
constexpr millis kMaxDeferralMs = 300;
// Delays between polls while the leader loads the jobs and discards the
// listings: the second poll extends the predecessor's lease on the runner, the
// others keep it. They leave most of the bandwidth of a narrow link to the
// load.
constexpr millis kSecondLoadingPollDelayMs = 1000;
constexpr millis kLoadingPollIntervalMs = 2500;

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

  /// Creates the runner's client if there is none; returns false if the
  /// runner's address is invalid.
  bool Connect();
  void Poll();
  void OnPollResponse(const platform::poll_response& response, millis sent_at);
  void OnPollFailed(fleet::order_outcome outcome);
  void SetReachable(bool now_reachable);
  /// Calls the discard_runs hook if the leader's lease on the runner has
  /// expired, unless the hook has already returned true for this expiry.
  void DiscardRunsIfLeaseExpired();
  /// Extends the leader's lease on the runner for a request that is sent now.
  /// Returns the end of the lease on the runner's clock, or 0 if that clock is
  /// not known yet.
  millis ExtendLease();
  void PollLater(millis delay);
  /// Polls now, or as soon as the spacing of polls permits it.
  void ResumePolling();

  node_context& context;
  std::uint64_t fencing_token;
  fleet::runner_report report;  ///< The runner's registration.
  /// Null until Connect() is called, and again after the address changed.
  std::unique_ptr<platform::runner_client> client;
  /// Time on this node's clock by which all runs on the runner have ended,
  /// unless the lease is extended.
  millis lease_until;
  runner_link_hooks hooks;
  boost::asio::steady_timer poll_timer;
  /// Highest sequence number of an acknowledged run end; 0: none.
  std::uint64_t acknowledged_end_number = 0;
  /// Time in ms on the runner's clock, from the response received at
  /// `clock_read_at`; -1: no response yet.
  millis runner_clock = -1;
  millis clock_read_at = 0;  ///< Time on this node's clock.
  /// Unix time at which the runner's process started; 0: not reported yet.
  millis process_start_unix_ms = 0;
  millis next_poll_at = 0;       ///< Earliest time of the next poll.
  bool reachable = false;        ///< The runner responded to the last poll.
  bool listing_applied = false;  ///< The leader applied the last listing.
  bool busy = false;             ///< Tasks run or may run on the runner.
  bool poll_in_flight = false;
  /// The discard_runs hook has returned true since the lease was extended last.
  bool runs_discarded = false;
  bool stopped = false;  ///< The runner_link has been destroyed.
};

bool runner_link::impl::Connect() {
  if (client) return true;
  auto created = platform::runner_client::Make(
      context.io, report.address, report.id, context.LinkHooks("runners"));
  if (!Ok(created)) {
    context.log.Warning("runner",
                        "invalid runner address, runner=" + report.id +
                            " error=" + Error(created).message);
    return false;
  }
  client = std::move(Value(created));
  return true;
}

millis runner_link::impl::ExtendLease() {
  if (runner_clock < 0) return 0;
  const millis now = context.now.Now();
  const millis lease_ms =
      std::min(sched::kRunnerLeaseMs,
               context.settings.max_lease_ms - sched::kRunnerLeaseMarginMs);
  // If the runner's clock is slow, the lease lasts longer than `lease_ms`. The
  // estimated time on the runner's clock is then also too high. Both errors are
  // the same fraction of a period: the first one of the lease, the second one
  // of the time since the clock was read.
  const millis drift =
      (lease_ms + (now - clock_read_at)) * sched::kClockDriftPermille / 1000;
  lease_until = std::max(lease_until,
                         now + lease_ms + drift + sched::kRunnerLeaseMarginMs);
  runs_discarded = false;
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

void runner_link::impl::ResumePolling() {
  const millis delay = next_poll_at - context.now.Now();
  if (delay > 0) return PollLater(delay);
  poll_timer.cancel();
  Poll();
}

void runner_link::impl::Poll() {
  if (poll_in_flight || stopped || !hooks.may_send_orders()) return;
  if (!Connect()) return PollLater(kRetryDelayMs);
  poll_in_flight = true;
  platform::poll_request request;
  request.fencing_token = fencing_token;
  request.ack_cursor = acknowledged_end_number;
  // A poll that gets no response may still reach the runner. If polls extended
  // the lease of an unreachable runner, the tasks of that runner would never be
  // started elsewhere.
  request.lease_until_ms = reachable ? ExtendLease() : 0;
  // Until a listing has been applied, the leader does not know what runs on the
  // runner, so the runner must respond at once.
  const bool immediate = !reachable || !listing_applied;
  request.wait_ms = immediate ? 0 : busy ? kPollWaitMs : kIdlePollWaitMs;
  const millis sent_at = context.now.Now();
  client->Poll(request, [weak = weak_from_this(),
                         sent_at](const platform::poll_response& response) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    self->poll_in_flight = false;
    self->OnPollResponse(response, sent_at);
  });
}

void runner_link::impl::OnPollResponse(const platform::poll_response& response,
                                       millis sent_at) {
  using fleet::order_outcome;
  if (response.outcome == order_outcome::kFenced) return hooks.fenced();
  if (response.outcome == order_outcome::kWrongInstance) {
    SetReachable(false);
    lease_until = 0;
    DiscardRunsIfLeaseExpired();
    return PollLater(4 * kRetryDelayMs);
  }
  if (response.outcome != order_outcome::kAccepted) {
    return OnPollFailed(response.outcome);
  }
  const fleet::runner_listing& listing = response.listing;
  if (process_start_unix_ms != 0 &&
      listing.started_unix_ms != process_start_unix_ms) {
    acknowledged_end_number = 0;
    hooks.restarted(report.id);
  }
  const bool first_response = process_start_unix_ms == 0;
  process_start_unix_ms = listing.started_unix_ms;
  next_poll_at = context.now.Now() + hooks.poll_spacing();
  runner_clock = listing.runner_clock_ms;
  clock_read_at = context.now.Now();
  SetReachable(true);
  const listing_result listing_outcome =
      hooks.apply_listing(report.id, listing, sent_at);
  if (stopped) return;
  listing_applied = listing_outcome != listing_result::kNotReady;
  switch (listing_outcome) {
    case listing_result::kAllAcknowledged:
      return ResumePolling();
    case listing_result::kAcksPending:
      return PollLater(kMaxDeferralMs);
    case listing_result::kNotReady:
      return PollLater(first_response ? kSecondLoadingPollDelayMs
                                      : kLoadingPollIntervalMs);
  }
}

void runner_link::impl::OnPollFailed(fleet::order_outcome outcome) {
  if (reachable) {
    context.log.Warning("runner",
                        "runner unreachable, runner=" + report.id +
                            " outcome=" + fleet::OrderOutcomeName(outcome));
  }
  SetReachable(false);
  DiscardRunsIfLeaseExpired();
  PollLater(kRetryDelayMs);
}

void runner_link::impl::SetReachable(bool now_reachable) {
  if (reachable == now_reachable) return;
  reachable = now_reachable;
  if (reachable) {
    context.log.Info("runner", "runner reachable, runner=" + report.id +
                                   " pool=" + report.pool);
  }
  hooks.reachability_changed(report.id, reachable);
}

void runner_link::impl::DiscardRunsIfLeaseExpired() {
  if (runs_discarded || context.now.Now() < lease_until) return;
  runs_discarded = hooks.discard_runs(report.id);
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

void runner_link::UpdateReport(const fleet::runner_report& report) {
  if (report.address != impl_->report.address) impl_->client.reset();
  impl_->report = report;
}

void runner_link::SetBusy(bool busy) { impl_->busy = busy; }

void runner_link::Acknowledge(std::uint64_t end_number) {
  impl_->acknowledged_end_number =
      std::max(impl_->acknowledged_end_number, end_number);
}

void runner_link::ResumePolling() {
  if (!impl_->poll_in_flight && impl_->reachable) impl_->ResumePolling();
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
  auto on_outcome = [weak = std::weak_ptr<impl>(impl_),
                     done = std::move(done)](fleet::order_outcome outcome) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    if (outcome == fleet::order_outcome::kFenced) return self->hooks.fenced();
    done(outcome);
  };
  switch (order.kind) {
    case sched::order_kind::kStart: {
      platform::start_request request;
      request.task = order.task;
      request.run = order.run;
      request.spec = order.spec;
      request.checkpoint = order.checkpoint;
      request.ticket = order.ticket;
      request.lease_until_ms = impl_->ExtendLease();
      request.fencing_token = impl_->fencing_token;
      impl_->client->Start(request, std::move(on_outcome));
      return;
    }
    case sched::order_kind::kStop:
      impl_->client->Stop(order.task, order.run, impl_->fencing_token,
                          std::move(on_outcome));
      return;
    case sched::order_kind::kPace:
      impl_->client->Pace(order.task, order.run, order.pace_percent,
                          impl_->fencing_token, std::move(on_outcome));
      return;
  }
}

}  // namespace radishwing::node

#include "src/node/runner_link.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
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
        poll_timer(context.io),
        polled_at(context.now.Now()) {}

  using order_completion = std::function<void(fleet::order_outcome)>;

  /// What this node knows of one incarnation of the runner.
  struct incarnation {
    /// Unix time at which the runner's process started; 0: not reported yet.
    millis process_start_unix_ms = 0;
    /// Highest sequence number of an acknowledged run end; 0: none.
    std::uint64_t acknowledged_end_number = 0;
    /// Time in ms on the runner's clock, from the response received at
    /// `clock_read_at`; -1: no response yet.
    millis runner_clock = -1;
    millis clock_read_at = 0;  ///< Time on this node's clock.
  };

  /// A poll under way.
  struct sent_poll {
    millis sent_at = 0;
    /// The poll went to the current incarnation only, and extended its lease.
    bool limited = false;
    /// Number of connections that were established before the poll.
    std::uint64_t connections = 0;
  };

  /// Creates the runner's client if there is none; returns false if the
  /// runner's address is invalid.
  bool Connect();
  /// Drops all connections to the runner. Completes the orders under way with
  /// an unknown outcome; the response to a poll under way is ignored.
  void Disconnect();
  /// Registers an order under way. Returns the function to call with its
  /// outcome, which has no effect if the order was completed before.
  order_completion TrackOrder(order_completion done);
  /// Sends a start order on a connection on which the current incarnation is
  /// known to answer. Without one, sends it on any connection.
  void SendStart(const sched::order& order, order_completion done);
  /// Sends a start order on any connection, or only on one on which the current
  /// incarnation is known to answer.
  void SendStartOn(const sched::order& order, bool known_incarnation,
                   order_completion done);
  /// Sends a poll, or tries to after a short delay if none may be sent now.
  void Poll();
  /// Begins with a new incarnation, whose first listing is `listing`.
  void ReplaceIncarnation(const fleet::runner_listing& listing, millis sent_at);
  void OnPollResponse(const platform::poll_response& response,
                      const sent_poll& poll);
  void OnPollFailed(fleet::order_outcome outcome);
  void SetReachable(bool now_reachable);
  /// Calls the discard_runs hook if the leader's lease on the runner has
  /// expired, unless the hook has already returned true for this expiry.
  void DiscardRunsIfLeaseExpired();
  /// Extends the leader's lease on the runner for a request that is sent now.
  /// Returns the end of the lease on the runner's clock, or 0 if that clock is
  /// not known yet. Another incarnation than the current one would grant its
  /// longest lease, as its clock shows less.
  millis ExtendLease(bool known_incarnation);
  void PollLater(millis delay);
  /// Polls now, or as soon as the spacing of polls permits it.
  void ResumePolling();

  node_context& context;
  std::uint64_t fencing_token;
  fleet::runner_report report;  ///< The runner's registration.
  /// Null until Connect() is called, and again after Disconnect().
  std::unique_ptr<platform::runner_client> client;
  /// Time on this node's clock by which all runs on the runner have ended,
  /// unless the lease is extended.
  millis lease_until;
  runner_link_hooks hooks;
  boost::asio::steady_timer poll_timer;
  incarnation current;
  /// The connections of `client` up to this number lead to `current`.
  std::uint64_t known_connections = 0;
  /// Orders under way, by the number that TrackOrder gave them.
  std::map<std::uint64_t, order_completion> orders_in_flight;
  std::uint64_t tracked_orders = 0;
  /// The registration has shown another address than the one on which the
  /// runner answered last, so that another runner may use the new one.
  bool address_doubtful = false;
  /// Send time of the last poll; until the first one, the link's creation.
  millis polled_at;
  millis next_poll_at = 0;       ///< Earliest time of the next poll.
  bool reachable = false;        ///< The runner responded to the last poll.
  bool listing_applied = false;  ///< The leader applied the last listing.
  bool busy = false;             ///< Tasks run or may run on the runner.
  bool poll_in_flight = false;
  /// The last accepted poll was not limited to known connections.
  bool last_poll_unlimited = false;
  /// Number of calls of Disconnect(); tells outdated polls apart.
  std::uint64_t disconnects = 0;
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

void runner_link::impl::Disconnect() {
  ++disconnects;
  poll_in_flight = false;
  poll_timer.cancel();
  client.reset();
  known_connections = 0;
  for (auto& [number, done] : std::exchange(orders_in_flight, {})) {
    done(fleet::order_outcome::kUnknown);
  }
}

runner_link::impl::order_completion runner_link::impl::TrackOrder(
    order_completion done) {
  const std::uint64_t number = ++tracked_orders;
  orders_in_flight[number] = std::move(done);
  return [weak = weak_from_this(), number](fleet::order_outcome outcome) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    auto order = self->orders_in_flight.extract(number);
    if (order.empty()) return;
    if (outcome == fleet::order_outcome::kFenced) return self->hooks.fenced();
    order.mapped()(outcome);
  };
}

millis runner_link::impl::ExtendLease(bool known_incarnation) {
  if (current.runner_clock < 0) return 0;
  const millis now = context.now.Now();
  const millis lease_ms =
      std::min(sched::kRunnerLeaseMs,
               context.settings.max_lease_ms - sched::kRunnerLeaseMarginMs);
  const millis longest_ms =
      known_incarnation ? lease_ms : context.settings.max_lease_ms;
  // If the runner's clock is slow, the lease lasts longer than `longest_ms`.
  // The estimated time on the runner's clock is then also too high. Both errors
  // are the same fraction of a period: the first one of the lease, the second
  // one of the time since the clock was read.
  const millis since_read = now - current.clock_read_at;
  const millis drift =
      (longest_ms + since_read) * sched::kClockDriftPermille / 1000;
  lease_until = std::max(
      lease_until, now + longest_ms + drift + sched::kRunnerLeaseMarginMs);
  runs_discarded = false;
  return current.runner_clock + since_read + lease_ms;
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
  if (poll_in_flight || stopped) return;
  // The permission comes back with a renewal of the leader's lease, which
  // nothing reports to the link.
  if (!hooks.may_send_orders() || !Connect()) return PollLater(kRetryDelayMs);
  poll_in_flight = true;
  polled_at = context.now.Now();
  platform::poll_request request;
  request.fencing_token = fencing_token;
  // A poll that gets no response may still reach the runner. If polls extended
  // the lease of an unreachable runner, the tasks of that runner would never be
  // started elsewhere.
  const bool known_incarnation = reachable && known_connections > 0;
  if (known_incarnation) {
    request.ack_cursor = current.acknowledged_end_number;
    request.lease_until_ms = ExtendLease(true);
    request.max_connection = known_connections;
  }
  // Until a listing has been applied, the leader does not know what runs on the
  // runner, so the runner must respond at once.
  const bool immediate = !known_incarnation || !listing_applied;
  request.wait_ms = immediate ? 0 : busy ? kPollWaitMs : kIdlePollWaitMs;
  const sent_poll poll{polled_at, known_incarnation,
                       client->EstablishedConnections()};
  client->Poll(request,
               [weak = weak_from_this(), poll, generation = disconnects](
                   const platform::poll_response& response) {
                 const auto self = weak.lock();
                 if (!self || self->stopped || generation != self->disconnects)
                   return;
                 self->poll_in_flight = false;
                 self->OnPollResponse(response, poll);
               });
}

void runner_link::impl::ReplaceIncarnation(const fleet::runner_listing& listing,
                                           millis sent_at) {
  Disconnect();
  current = {};
  current.process_start_unix_ms = listing.started_unix_ms;
  hooks.restarted(report.id, sent_at);
}

void runner_link::impl::OnPollResponse(const platform::poll_response& response,
                                       const sent_poll& poll) {
  using fleet::order_outcome;
  if (poll.limited && response.outcome == order_outcome::kNotSent) {
    // Every connection to this incarnation is busy or closed.
    known_connections = 0;
    // A runner that closes each connection must not be polled without a pause.
    return last_poll_unlimited ? PollLater(kRetryDelayMs) : Poll();
  }
  if (response.outcome == order_outcome::kFenced) return hooks.fenced();
  if (response.outcome == order_outcome::kWrongInstance && !address_doubtful) {
    SetReachable(false);
    lease_until = 0;
    DiscardRunsIfLeaseExpired();
    return PollLater(4 * kRetryDelayMs);
  }
  if (response.outcome != order_outcome::kAccepted) {
    return OnPollFailed(response.outcome);
  }
  const fleet::runner_listing& listing = response.listing;
  const bool first_response = current.process_start_unix_ms == 0;
  if (!first_response &&
      listing.started_unix_ms != current.process_start_unix_ms) {
    ReplaceIncarnation(listing, poll.sent_at);
    if (stopped) return;
  } else {
    // A connection that was established before the poll leads to the
    // incarnation that answered, or to an earlier one.
    known_connections =
        std::max({known_connections, poll.connections, response.connection});
  }
  last_poll_unlimited = !poll.limited;
  address_doubtful = false;
  current.process_start_unix_ms = listing.started_unix_ms;
  next_poll_at = context.now.Now() + hooks.poll_spacing();
  current.runner_clock = listing.runner_clock_ms;
  current.clock_read_at = context.now.Now();
  SetReachable(true);
  const listing_result listing_outcome =
      hooks.apply_listing(report.id, listing, poll.sent_at);
  if (stopped) return;
  listing_applied = listing_outcome != listing_result::kNotReady;
  switch (listing_outcome) {
    case listing_result::kAllAcknowledged:
      return ResumePolling();
    case listing_result::kAcksPending:
      return PollLater(kMaxDeferralMs);
    case listing_result::kNotReady:
      // The pauses between two extensions of the lease must not add up.
      if (!poll.limited && !first_response) return PollLater(0);
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
  const bool moved = report.address != impl_->report.address;
  const bool restarted =
      impl_->current.process_start_unix_ms != 0 &&
      report.started_unix_ms > impl_->current.process_start_unix_ms;
  impl_->report = report;
  if (!moved && !restarted) return;
  impl_->address_doubtful |= moved;
  impl_->Disconnect();
  impl_->SetReachable(false);
  impl_->Poll();
}

void runner_link::SetBusy(bool busy) { impl_->busy = busy; }

void runner_link::Acknowledge(std::uint64_t end_number) {
  impl_->current.acknowledged_end_number =
      std::max(impl_->current.acknowledged_end_number, end_number);
}

void runner_link::ResumePolling() {
  if (!impl_->poll_in_flight && impl_->reachable) impl_->ResumePolling();
}

bool runner_link::Reachable() const { return impl_->reachable; }

millis runner_link::TimeSincePoll() const {
  return impl_->context.now.Now() - impl_->polled_at;
}

bool runner_link::LeaseExpired() const {
  return impl_->context.now.Now() >= impl_->lease_until;
}

void runner_link::Send(const sched::order& order,
                       std::function<void(fleet::order_outcome)> done) {
  const bool start = order.kind == sched::order_kind::kStart;
  if (!impl_->hooks.may_send_orders() || !impl_->Connect() ||
      impl_->current.runner_clock < 0 || (start && !impl_->reachable)) {
    return done(fleet::order_outcome::kNotSent);
  }
  switch (order.kind) {
    case sched::order_kind::kStart:
      return impl_->SendStart(order, std::move(done));
    case sched::order_kind::kStop:
      return impl_->client->Stop(order.task, order.run, impl_->fencing_token,
                                 impl_->TrackOrder(std::move(done)));
    case sched::order_kind::kPace:
      return impl_->client->Pace(order.task, order.run, order.pace_percent,
                                 impl_->fencing_token,
                                 impl_->TrackOrder(std::move(done)));
  }
}

void runner_link::impl::SendStart(const sched::order& order,
                                  order_completion done) {
  order_completion on_outcome = TrackOrder(std::move(done));
  if (known_connections == 0) {
    return SendStartOn(order, false, std::move(on_outcome));
  }
  const auto on_known_outcome =
      [weak = weak_from_this(), order, on_outcome,
       generation = disconnects](fleet::order_outcome outcome) {
        const auto self = weak.lock();
        if (!self || self->stopped) return;
        const bool may_send = generation == self->disconnects &&
                              self->reachable && self->hooks.may_send_orders();
        if (outcome != fleet::order_outcome::kNotSent || !may_send) {
          return on_outcome(outcome);
        }
        self->SendStartOn(order, false, on_outcome);
      };
  SendStartOn(order, true, on_known_outcome);
}

void runner_link::impl::SendStartOn(const sched::order& order,
                                    bool known_incarnation,
                                    order_completion done) {
  platform::start_request request;
  request.task = order.task;
  request.run = order.run;
  request.spec = order.spec;
  request.checkpoint = order.checkpoint;
  request.ticket = order.ticket;
  request.lease_until_ms = ExtendLease(known_incarnation);
  request.fencing_token = fencing_token;
  if (known_incarnation) request.max_connection = known_connections;
  client->Start(request, std::move(done));
}

}  // namespace radishwing::node

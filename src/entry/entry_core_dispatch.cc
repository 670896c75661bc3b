#include "src/base/log.h"
#include "src/entry/entry_core.h"
#include "src/http/address.h"

namespace radishwing::entry {

using boost::asio::ip::tcp;
using routing::attempt_result;

namespace {

/// The queue's number for an exchange. The exchange leaves the queue before it
/// is destroyed.
std::uint64_t QueueNumber(exchange& e) {
  return reinterpret_cast<std::uintptr_t>(&e);
}

exchange& FromQueueNumber(std::uint64_t number) {
  return *reinterpret_cast<exchange*>(static_cast<std::uintptr_t>(number));
}

}  // namespace

bool entry_core::IsFull(const service_state& service) const {
  return service.pool->queue.WaitingOfService(service.index) >=
         service.settings.queue_limit;
}

void entry_core::Push(exchange& e) {
  const request_state& state = e.State();
  service_state& service = *state.service;
  fairness::queue_item item;
  item.id = QueueNumber(e);
  item.team = state.team->index;
  item.service = service.index;
  item.cls = state.cls;
  item.user = state.user;
  item.workspace = state.workspace;
  item.expected_ms = static_cast<millis>(service.mean_run_ms);
  ++state.team->waiting;
  ++MetricsOf(state).waiting;
  e.SetTicket(state.pool->queue.Push(item));
  Dispatch(service);
  if (state.phase == request_phase::kQueued) {
    WantTokens(*state.team, e.Caller(), state.sequence);
  }
}

void entry_core::CancelQueued(exchange& e) {
  e.State().pool->queue.Cancel(e.State().ticket);
  --e.State().team->waiting;
  --MetricsOf(e.State()).waiting;
}

void entry_core::ChargeRunning(exchange& e, millis used_ms) {
  // Charging by the tick beyond the expectation keeps a run that takes ten
  // times as long from being seen only at its end.
  if (static_cast<double>(used_ms) > e.State().service->mean_run_ms) {
    e.State().pool->queue.Charge(e.State().ticket, used_ms);
  }
}

void entry_core::DispatchAll() {
  for (auto& service : directory_.Services()) Dispatch(*service);
  for (auto& team : directory_.Teams()) {
    if (team->waiting > 0) WantTokens(*team, {}, 0);
  }
}

void entry_core::Dispatch(service_state& service) {
  service.dispatch_again = true;
  // An attempt that fails at once comes back here: the outer loop goes on.
  if (service.dispatching) return;
  service.dispatching = true;
  while (service.dispatch_again) {
    service.dispatch_again = false;
    while (StartNext(service)) {
    }
  }
  service.dispatching = false;
}

bool entry_core::StartNext(service_state& service) {
  if (!service.pool || !service.group->MayHaveRoom()) return false;
  fairness::fair_queue& queue = service.pool->queue;
  if (queue.WaitingOfService(service.index) == 0) return false;
  auto popped = queue.Pop(service.index, [this](std::uint32_t team) {
    if (team == 0) return true;
    const team_state& state = directory_.Team(team);
    // Checked at every start: after the grace the control may have given the
    // tokens to others.
    return state.tokens.HasFree() && !CutOff(state);
  });
  if (!popped) return false;
  exchange& e = FromQueueNumber(popped->id);
  const request_state& state = e.State();
  routing::runner_state* runner =
      service.group->Pick(Now(), state.idempotent, state.tried);
  if (!runner) {
    queue.Requeue(popped->number);
    return false;
  }
  --state.team->waiting;
  service_metrics& metrics = MetricsOf(state);
  --metrics.waiting;
  if (state.attempts == 0) {
    metrics.CountStart(state.cls, (Now() - state.queued_at) / 1000.0);
  }
  e.StartAttempt(*runner);
  return true;
}

bool entry_core::Started(exchange& e, routing::runner_state& runner) {
  team_state& team = *e.State().team;
  ++team.running;
  ++MetricsOf(e.State()).running;
  if (team.NeedsToken()) team.tokens.Use();
  return e.State().service->group->Started(runner);
}

void entry_core::EndAttempt(exchange& e, runner_attempt& attempt,
                            attempt_result how, next_step next,
                            connection_use use) {
  const request_state& state = e.State();
  millis now = Now();
  millis used = now - attempt.started_at;
  team_state& team = *state.team;
  bool was_out = attempt.runner->failures.Out();
  state.service->group->Finished(*attempt.runner, attempt.probe, how, now);
  if (attempt.runner->failures.Out() != was_out) {
    LogInfo("routing",
            std::string(was_out ? "runner returned" : "runner ejected") +
                ", runner=" + attempt.runner->info.id +
                " service=" + state.service->name);
  }
  if (how == attempt_result::kSuccess &&
      state.pool->queue.WaitingOfService(state.service->index) > 0) {
    state.service->group->MaybeYield(*attempt.runner, used, now);
  }
  --team.running;
  --MetricsOf(state).running;
  state.pool->slot_ms[team.index] += static_cast<std::uint64_t>(used);
  if (use == connection_use::kLinger) {
    Linger(e, attempt);
  } else {
    if (team.NeedsToken()) team.tokens.Release();
    if (attempt.connection && use == connection_use::kReuse) {
      attempt.connection->Release(now);
    } else if (attempt.connection) {
      attempt.connection->Close();
    }
  }
  if (next == next_step::kRequeue) {
    ++team.waiting;
    ++MetricsOf(state).waiting;
    state.pool->queue.Requeue(state.ticket);
  } else {
    state.pool->queue.Finish(state.ticket, used);
  }
  Dispatch(*state.service);
  // The token may be what the team's requests of other services wait for.
  if (team.waiting > 0 && team.tokens.HasFree()) DispatchAll();
}

void entry_core::Linger(exchange& e, runner_attempt& attempt) {
  const request_state& state = e.State();
  lingering_run run;
  run.connection = attempt.connection;
  run.team = state.team;
  run.host = attempt.runner->info.host;
  run.until =
      attempt.started_at + state.service->settings.longest_run_seconds * 1000;
  lingering_.push_back(std::move(run));
  auto added = std::prev(lingering_.end());
  attempt.connection->Linger([this, added] { EndLinger(added); });
}

void entry_core::EndLinger(std::list<lingering_run>::iterator run) {
  team_state& team = *run->team;
  if (team.NeedsToken()) team.tokens.Release();
  lingering_.erase(run);
  if (team.waiting > 0) DispatchAll();
}

void entry_core::TickLinger(millis now) {
  for (auto run = lingering_.begin(); run != lingering_.end();) {
    auto next = std::next(run);
    if (now >= run->until) {
      run->connection->Close();
      EndLinger(run);
    }
    run = next;
  }
}

entry_core::runner_link& entry_core::LinkOf(
    const routing::runner_state& runner) {
  if (runner_links_.size() <= runner.index) {
    runner_links_.resize(runner.index + 1);
  }
  auto& link = runner_links_[runner.index];
  if (!link) {
    link = std::make_unique<runner_link>();
    link->pool = std::make_shared<connection_pool>();
    auto endpoint = radishwing::http::ParseAddress(runner.info.address);
    if (Ok(endpoint)) link->endpoint = Value(endpoint);
  }
  return *link;
}

std::shared_ptr<connection_pool> entry_core::Connections(
    const routing::runner_state& runner) {
  return LinkOf(runner).pool;
}

std::optional<tcp::endpoint> entry_core::EndpointOf(
    const routing::runner_state& runner) {
  return LinkOf(runner).endpoint;
}

void entry_core::CloseIdle(const routing::runner_state& runner) {
  LinkOf(runner).pool->CloseIdle();
}

}  // namespace radishwing::entry

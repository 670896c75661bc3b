#include "src/entry/entry_core.h"

#include <boost/asio/post.hpp>
#include <chrono>

#include "src/base/log.h"
#include "src/http/address.h"

namespace radishwing::entry {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr std::size_t kInboxCapacity = 4096;
constexpr millis kPublishMs = 100;
// Longer than any pause within a load peak; runners keep 64 connections for
// all entries together.
constexpr millis kIdleConnectionMs = 30000;
// Work waits although slots look free: a runner rejected it as full, and
// only another attempt shows when a slot of another entry becomes free.
constexpr millis kFullTickMs = 2;
// A control that restarts is no partition.
constexpr millis kControlRestartMs = 5000;
}  // namespace

entry_core::entry_core(entry_options options, link_port port)
    : options_(std::move(options)),
      port_(std::move(port)),
      runners_(options_.data_centre, options_.seed),
      directory_(runners_),
      owner_(options_.host + "#" + std::to_string(options_.incarnation)),
      acceptor_(context_),
      timer_(context_),
      inbox_(context_, kInboxCapacity) {
  // Request identifiers have at most 64 characters.
  id_prefix_ = options_.host.substr(0, 24) + "-" +
               std::to_string(options_.incarnation) + "-";
  disconnected_at_ = Now();
}

entry_core::~entry_core() {
  // Sockets go before the context that they belong to.
  while (!callers_.empty()) callers_.back()->Abort();
  closed_.clear();
  for (lingering_run& run : lingering_) run.connection->Close();
  lingering_.clear();
  for (auto& link : runner_links_) {
    if (link) link->pool->CloseIdle();
  }
}

result<tcp::endpoint> entry_core::Listen() {
  auto parsed = radishwing::http::ParseAddress(options_.caller_address);
  if (!Ok(parsed)) return Error(parsed);
  const tcp::endpoint& endpoint = Value(parsed);
  error_code error;
  acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(4096, error);
  if (error) {
    return failure{
        failure_kind::kUnavailable,
        "cannot listen on " + options_.caller_address + ": " + error.message()};
  }
  Accept();
  return acceptor_.local_endpoint();
}

void entry_core::Accept() {
  if (accepting_ || !acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    accepting_ = false;
    // Out of descriptors, for example: the next tick tries again.
    if (error) return;
    if (callers_.size() >= options_.caller_connections_max) {
      RefuseConnection(std::move(socket));
    } else {
      auto caller =
          std::make_shared<caller_connection>(*this, std::move(socket));
      caller->registry_index = callers_.size();
      callers_.push_back(caller);
      caller->Start();
    }
    Accept();
  });
}

void entry_core::RefuseConnection(tcp::socket socket) {
  std::string text;
  AppendRejection(
      {503, "too_many_connections", "This entry has too many connections"}, {},
      false, false, text);
  error_code ignored;
  socket.non_blocking(true, ignored);
  socket.write_some(boost::asio::buffer(text), ignored);
  CountRefusedHead();
}

void entry_core::RemoveCaller(caller_connection& caller) {
  std::size_t index = caller.registry_index;
  closed_.push_back(std::move(callers_[index]));
  if (index + 1 < callers_.size()) {
    callers_[index] = std::move(callers_.back());
    callers_[index]->registry_index = index;
  }
  callers_.pop_back();
}

void entry_core::Activate(exchange& e) {
  e.registry_index = active_.size();
  active_.push_back(&e);
}

void entry_core::Deactivate(exchange& e) {
  exchange* last = active_.back();
  active_[e.registry_index] = last;
  last->registry_index = e.registry_index;
  active_.pop_back();
  if (!e.State().own_id) return;
  auto [first, end] = by_id_.equal_range(e.State().id);
  for (; first != end; ++first) {
    if (first->second == &e) {
      by_id_.erase(first);
      return;
    }
  }
}

void entry_core::IndexId(exchange& e) {
  if (e.State().own_id) by_id_.emplace(e.State().id, &e);
}

std::string entry_core::NextRequestId() {
  return id_prefix_ + std::to_string(++runs_);
}

std::string entry_core::NextClaimOwner() {
  return owner_ + "/" + std::to_string(++claims_);
}

std::string_view entry_core::NextRun() {
  run_.assign(id_prefix_).append("r").append(std::to_string(++runs_));
  return run_;
}

void entry_core::StartTicks() { Tick(); }

void entry_core::Tick() {
  closed_.clear();
  millis now = Now();
  last_tick_.Set(static_cast<std::uint64_t>(now));
  // Backwards: an exchange that ends is replaced by the last one.
  for (std::size_t i = active_.size(); i-- > 0;) {
    if (i < active_.size()) active_[i]->OnTick(now);
  }
  if (now >= next_half_second_) {
    next_half_second_ = now + 500;
    for (std::size_t i = callers_.size(); i-- > 0;) {
      if (i < callers_.size()) callers_[i]->OnTick(now);
    }
    Accept();
  }
  if (now >= next_second_) {
    next_second_ = now + 1000;
    TickSecond(now);
  }
  TickLinger(now);
  DispatchAll();
  if (now >= next_publish_) {
    next_publish_ = now + kPublishMs;
    Publish();
  }
  if (stop_ != stop_phase::kNone) TickStop(now);
  if (stop_ == stop_phase::kDone) return;
  timer_.expires_after(std::chrono::milliseconds(NextTick()));
  timer_.async_wait([this](const error_code& error) {
    if (!error) Tick();
  });
}

void entry_core::TickSecond(millis now) {
  for (auto& [name, pool] : directory_.Pools()) pool->queue.Sweep();
  for (std::uint32_t index : runners_.RemoveGone()) {
    if (index >= runner_links_.size() || !runner_links_[index]) continue;
    runner_links_[index]->pool->CloseIdle();
    runner_links_[index] = nullptr;
  }
  for (auto& link : runner_links_) {
    if (link) link->pool->CloseIdleSince(now - kIdleConnectionMs);
  }
  // The grace of a team may be over.
  RecheckQueued();
  ReturnIdleTokens();
  ShowGauges();
}

millis entry_core::NextTick() {
  for (const auto& service : directory_.Services()) {
    if (service->pool && service->group->MayHaveRoom() &&
        service->pool->queue.WaitingOfService(service->index) > 0) {
      return std::min(kFullTickMs, options_.tick_ms);
    }
  }
  return options_.tick_ms;
}

void entry_core::ApplySnapshot(rpc::snapshot snapshot) {
  millis now = Now();
  if (snapshot.settings &&
      (snapshot.settings->revision >= directory_.Revision())) {
    bool newer = snapshot.settings->revision > directory_.Revision();
    directory_.Apply(*snapshot.settings);
    if (newer) {
      LogInfo("settings", "settings applied, revision=" +
                              std::to_string(directory_.Revision()));
    }
  }
  if (new_session_ || snapshot.table_version >= table_version_) {
    new_session_ = false;
    table_version_ = snapshot.table_version;
    runners_.Apply(snapshot.runners);
  }
  if ((cut_off_ms_ > 0) != (snapshot.cut_off_ms > 0)) {
    LogWarning("settings", snapshot.cut_off_ms > 0
                               ? "data centre is cut off"
                               : "data centre is no longer cut off");
  }
  cut_off_ms_ = snapshot.cut_off_ms;
  snapshot_at_ = now;
  has_snapshot_ = true;
  RecheckQueued();
  Publish();
  if (port_.report_now) port_.report_now();
  DispatchAll();
}

std::optional<rejection> entry_core::Revoked(const request_state& state) const {
  if (!directory_.HasKey(state.key_number)) {
    return rejection{401, "invalid_key", "The API key was revoked"};
  }
  if (!state.service->listed) {
    return rejection{503, "service_removed", "The service was removed"};
  }
  if (state.key_number != 0 && !Admits(*state.service, *state.team)) {
    return rejection{403, "team_not_admitted",
                     "The service does not admit this team any more"};
  }
  if (state.key_number != 0 && CutOff(*state.team)) {
    return rejection{503, "cut_off",
                     "The data centre is cut off and cannot confirm the key"};
  }
  return std::nullopt;
}

void entry_core::RecheckQueued() {
  for (std::size_t i = active_.size(); i-- > 0;) {
    if (i >= active_.size()) continue;
    exchange& e = *active_[i];
    if (e.State().phase != request_phase::kQueued) continue;
    if (auto revoked = Revoked(e.State())) {
      e.RejectQueued(std::move(*revoked));
    } else {
      e.ChangePool();
    }
  }
}

void entry_core::SetConnected(bool connected) {
  if (connected_ && !connected) disconnected_at_ = Now();
  // A new control numbers its tables from its start time, which a clock that
  // was set back makes lower.
  if (connected) new_session_ = true;
  connected_ = connected;
}

bool entry_core::Admits(const service_state& service,
                        const team_state& team) const {
  return team.index < service.admits.size() ? service.admits[team.index]
                                            : service.settings.teams.empty();
}

millis entry_core::CutOffMs() const {
  millis now = Now();
  millis told = cut_off_ms_ > 0 ? cut_off_ms_ + (now - snapshot_at_) : 0;
  // The process may have been paused: the session then looks open although
  // the control has ended it, and its end may not have been noticed yet.
  millis contact = contact_at_;
  millis silent = contact < 0 ? 0 : now - contact;
  if (silent > kControlRestartMs) told = std::max(told, silent);
  if (connected_) return told;
  return std::max(told, now - disconnected_at_ - kControlRestartMs);
}

bool entry_core::CutOff(const team_state& team) const {
  millis since = CutOffMs();
  if (since <= 0) return false;
  return team.settings.when_cut_off == settings::cut_off_policy::kRefuse ||
         since > team.settings.cut_off_grace_seconds * 1000;
}

}  // namespace radishwing::entry

#include "src/control/entry_registry.h"

#include <algorithm>
#include <utility>

#include "src/base/log.h"
#include "src/control/entry_session.h"
#include "src/rpc/convert.h"

namespace radishwing::control {

entry_registry::entry_registry(kj::Timer& timer, clock now,
                               const control_timing& timing,
                               settings_keeper& settings, runner_table& table)
    : timer_(timer),
      clock_(std::move(now)),
      timing_(timing),
      settings_(settings),
      table_(table),
      changed_(timer),
      started_ms_(clock_.Now()) {
  settings_.OnChange([this] { changed_.Raise(); });
  table_.OnChange([this] { changed_.Raise(); });
}

rpc::EntrySession::Client entry_registry::Open(const rpc::hello& who,
                                               rpc::connection_closer close) {
  std::uint64_t id = ++last_id_;
  entry_state& state = sessions_[id];
  state.who = who;
  state.last_report_ms = clock_.Now();
  state.close = std::move(close);
  LogInfo("entry", "session opened, entry=" + state.Owner());
  return kj::heap<entry_session>(*this, id);
}

entry_state* entry_registry::Find(std::uint64_t id) {
  auto found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : &found->second;
}

void entry_registry::Close(std::uint64_t id) {
  auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  entry_state closed = std::move(found->second);
  sessions_.erase(found);
  closed.callback = nullptr;
  LogInfo("entry", "session closed, entry=" + closed.Owner());
  if (!closed.stated) return;
  // A newer session of the same entry has stated the tokens already.
  bool replaced =
      std::any_of(sessions_.begin(), sessions_.end(), [&](const auto& other) {
        return other.second.stated && other.second.Owner() == closed.Owner();
      });
  lost_ = std::move(closed);
  lost_at_ms_ = clock_.Now();
  if (!replaced && handlers.on_broken) handlers.on_broken(lost_.Owner());
}

void entry_registry::Tick() {
  std::vector<std::uint64_t> silent;
  for (const auto& [id, state] : sessions_) {
    if (clock_.Now() - state.last_report_ms > timing_.entry_silent_ms) {
      silent.push_back(id);
    }
  }
  for (std::uint64_t id : silent) {
    auto close = sessions_[id].close;
    LogWarning("entry", "session silent, entry=" + sessions_[id].Owner());
    Close(id);
    if (close) close();
  }
}

kj::Promise<bool> entry_registry::Cancel(const std::string& owner,
                                         const std::string& request_id,
                                         const std::string& team) {
  for (auto& [id, state] : sessions_) {
    if (state.Owner() != owner) continue;
    KJ_IF_MAYBE (callback, state.callback) {
      auto request = callback->cancelRequest();
      request.setRequestId(rpc::ToText(request_id));
      request.setTeam(rpc::ToText(team));
      return timer_
          .timeoutAfter(timing_.call_deadline_ms * kj::MILLISECONDS,
                        request.send())
          .then([](auto&& reply) { return reply.getFound(); },
                [](kj::Exception&&) { return false; });
    }
  }
  return false;
}

std::uint64_t entry_registry::RevisionInForce() const {
  std::uint64_t revision = settings_.Revision();
  for (const auto& [id, state] : sessions_) {
    revision = std::min(revision, state.settings_revision);
  }
  bool lost = sessions_.empty() && lost_.stated &&
              clock_.Now() - lost_at_ms_ < entry_gone_ms;
  return lost ? std::min(revision, lost_.settings_revision) : revision;
}

std::uint64_t entry_registry::LastTableVersion() const {
  std::uint64_t version = table_.Version();
  for (const auto& [id, state] : sessions_) {
    version = std::min(version, state.table_version);
  }
  bool lost = sessions_.empty() && lost_.stated &&
              clock_.Now() - lost_at_ms_ < entry_gone_ms;
  return lost ? std::min(version, lost_.table_version) : version;
}

std::uint64_t entry_registry::HostEpochsInForce() const {
  return table_.HostEpochsAt(LastTableVersion());
}

entry_registry::host_use entry_registry::HostUse(const std::string& host,
                                                 std::uint64_t version) const {
  host_use use;
  // After a restart of this control, its entry may go on for a while with the
  // table that it got before.
  bool unknown = sessions_.empty() && !lost_.stated &&
                 clock_.Now() - started_ms_ < entry_gone_ms;
  use.confirmed = !unknown && LastTableVersion() >= version;
  auto add = [&](const entry_state& state) {
    for (const auto& flight : state.in_flight) {
      if (flight.host == host) use.in_flight += flight.count;
    }
  };
  for (const auto& [id, state] : sessions_) add(state);
  bool lost = sessions_.empty() && lost_.stated &&
              clock_.Now() - lost_at_ms_ < entry_gone_ms;
  if (lost) add(lost_);
  return use;
}

}  // namespace radishwing::control

#include "src/control/token_recovery_duty.h"

#include <kj/debug.h>

#include <algorithm>
#include <set>
#include <utility>

#include "src/base/log.h"
#include "src/base/sha256.h"
#include "src/quota/token_transitions.h"
#include "src/rpc/convert.h"

namespace radishwing::control {
namespace {

std::string HostOf(const std::string& holder) {
  return holder.substr(0, holder.rfind('#'));
}

}  // namespace

struct token_recovery_duty::attempt {
  attempt(std::string t, std::uint64_t v, quota::token_record base)
      : team(std::move(t)), version(v), recovery(std::move(base)) {}

  std::string team;
  std::uint64_t version = 0;
  quota::token_recovery recovery;
  std::vector<std::string> holders;
};

token_recovery_duty::token_recovery_duty(kj::Timer& timer, clock now,
                                         const control_options& options,
                                         store_port& store, peer_mesh& mesh,
                                         settings_keeper& keeper,
                                         token_service& tokens)
    : timer_(timer),
      clock_(std::move(now)),
      options_(options),
      store_(store),
      mesh_(mesh),
      keeper_(keeper),
      tokens_(tokens),
      lease_(timer, clock_, options.timing, store, "lease/tokens",
             tokens.Holder()),
      tasks_(kj::heap<kj::TaskSet>(
          static_cast<kj::TaskSet::ErrorHandler&>(*this))) {}

void token_recovery_duty::Start() { tasks_->add(lease_.Run()); }

void token_recovery_duty::WatchHolders() {
  std::set<std::string> listed;
  for (const auto& [team, state] : tokens_.Teams()) {
    if (!state->record.has_value()) continue;
    for (const auto& [holder, grant] : state->record->grants) {
      listed.insert(holder);
    }
  }
  std::erase_if(gone_since_,
                [&](const auto& gone) { return !listed.contains(gone.first); });
  std::erase_if(listed_since_, [&](const auto& since) {
    return !listed.contains(since.first);
  });
  for (const std::string& holder : listed) {
    listed_since_.emplace(holder, clock_.Now());
    std::string host = HostOf(holder);
    const membership::member* row = mesh_.Members().Find(host);
    std::string process =
        host == options_.host ? tokens_.Holder() : mesh_.ProcessAt(host);
    bool down =
        row == nullptr || row->state >= membership::member_state::kFailed;
    bool replaced = !process.empty() && process != holder;
    if (down || replaced) {
      gone_since_.emplace(holder, clock_.Now());
    } else if (!process.empty()) {
      gone_since_.erase(holder);
    }
  }
}

void token_recovery_duty::CountGone(attempt& run, const std::string& holder) {
  millis bound = tokens_.InUseMs(run.team);
  auto gone = gone_since_.find(holder);
  if (gone == gone_since_.end()) return;
  std::string host = HostOf(holder);
  const membership::member* row = mesh_.Members().Find(host);
  bool down = row == nullptr || row->state >= membership::member_state::kFailed;
  if (down) {
    run.recovery.HostGone(holder, clock_.Now() - gone->second, bound);
    return;
  }
  // Another process runs there. Until it is listed itself, it has not said
  // what the entry of its predecessor still uses.
  std::string process =
      host == options_.host ? tokens_.Holder() : mesh_.ProcessAt(host);
  auto listed = listed_since_.find(process);
  if (listed == listed_since_.end()) return;
  run.recovery.Superseded(holder, clock_.Now() - listed->second, bound);
}

bool token_recovery_duty::Wanted(const std::string& team,
                                 const team_state& state) const {
  millis now = clock_.Now();
  if (!state.record.has_value()) return false;
  if (now - state.recovered_ms < options_.timing.recovery_retry_ms) {
    return false;
  }
  // An attempt that was not finished leaves holders that cannot lend.
  if (state.account.Frozen()) {
    return now - state.frozen_since_ms >= options_.timing.recovery_retry_ms;
  }
  return std::any_of(state.record->grants.begin(), state.record->grants.end(),
                     [&](const auto& grant) {
                       auto gone = gone_since_.find(grant.first);
                       return gone != gone_since_.end() &&
                              now - gone->second >= tokens_.InUseMs(team);
                     });
}

void token_recovery_duty::Tick() {
  WatchHolders();
  if (busy_ || !keeper_.Tree()) return;
  bool held = lease_.Held();
  for (auto& [team, state] : tokens_.Teams()) {
    if (!state->record.has_value()) continue;
    if (state->recovered_ms == 0) state->recovered_ms = clock_.Now();
    auto settings = keeper_.Tree()->teams.find(team);
    std::uint32_t limit = settings == keeper_.Tree()->teams.end()
                              ? 0
                              : settings->second.upper_limit;
    if (held && state->record->limit != limit) return SetLimit(team, limit);
    bool due = held && clock_.Now() - state->recovered_ms >=
                           options_.timing.recovery_interval_ms;
    if ((held || state->account.Frozen()) && (due || Wanted(team, *state))) {
      busy_ = true;
      state->recovered_ms = clock_.Now();
      tasks_->add(Recover(team)
                      .catch_([](kj::Exception&& reason) {
                        LogWarning("quota",
                                   std::string("recovery failed, reason=") +
                                       reason.getDescription().cStr());
                      })
                      .then([this] { busy_ = false; }));
      return;
    }
  }
}

void token_recovery_duty::SetLimit(const std::string& team,
                                   std::uint32_t limit) {
  busy_ = true;
  record_swap swap;
  swap.key = token_service::KeyOf(team);
  swap.seen = [this, team](const stored_value& value) {
    tokens_.Observe(team, value);
  };
  swap.next =
      [limit](
          const std::optional<stored_value>& current) -> result<std::string> {
    if (!current) return failure{failure_kind::kNotFound, "no record"};
    auto record = quota::ParseTokenRecord(current->value);
    if (!Ok(record)) return Error(record);
    return quota::FormatTokenRecord(
        quota::SetLimit(Value(record), limit, RandomHex(16)));
  };
  tasks_->add(
      SwapRecord(store_, std::move(swap))
          .then([this, team, limit](result<stored_value> written) {
            busy_ = false;
            LogInfo("quota",
                    std::string(Ok(written) ? "limit set" : "limit not set") +
                        ", team=" + team + " limit=" + std::to_string(limit));
          }));
}

kj::Promise<void> token_recovery_duty::Recover(std::string team) {
  return store_.Get(token_service::KeyOf(team))
      .then([this, team](result<std::optional<stored_value>> found)
                -> kj::Promise<void> {
        if (!Ok(found) || !Value(found).has_value()) return kj::READY_NOW;
        tokens_.Observe(team, *Value(found));
        auto record = quota::ParseTokenRecord(Value(found)->value);
        if (!Ok(record)) return kj::READY_NOW;
        auto run = std::make_shared<attempt>(team, Value(found)->version,
                                             Value(record));
        for (const auto& [holder, grant] : Value(record).grants) {
          run->holders.push_back(holder);
        }
        return ReachHolders(run);
      });
}

kj::Promise<void> token_recovery_duty::ReachHolders(attempt_ptr run) {
  // Nobody is asked to freeze before all others are known to reply, or to be
  // gone for good: a frozen holder cannot lend.
  kj::Vector<kj::Promise<void>> reached;
  for (const std::string& holder : run->holders) {
    std::string host = HostOf(holder);
    if (host == options_.host) continue;
    reached.add(
        timer_
            .timeoutAfter(options_.timing.call_deadline_ms * kj::MILLISECONDS,
                          mesh_.Reach(host))
            .ignoreResult()
            .catch_([](kj::Exception&&) {}));
  }
  return kj::joinPromises(reached.releaseAsArray()).then([this, run] {
    WatchHolders();
    std::vector<std::string> asked;
    for (const std::string& holder : run->holders) {
      std::string host = HostOf(holder);
      bool present = holder == tokens_.Holder() ||
                     (host != options_.host && mesh_.ProcessAt(host) == holder);
      if (present) {
        asked.push_back(holder);
        continue;
      }
      CountGone(*run, holder);
    }
    std::size_t missing = run->recovery.Missing().size();
    run->holders = std::move(asked);
    if (missing != run->holders.size()) {
      return kj::Promise<void>(kj::READY_NOW);
    }
    return AskHolders(run);
  });
}

kj::Promise<void> token_recovery_duty::AskHolders(attempt_ptr run) {
  kj::Vector<kj::Promise<void>> asked;
  for (const std::string& holder : run->holders) {
    asked.add(AskHolder(run, holder));
  }
  return kj::joinPromises(asked.releaseAsArray()).then([this, run] {
    return Write(run);
  });
}

kj::Promise<void> token_recovery_duty::AskHolder(attempt_ptr run,
                                                 std::string holder) {
  std::uint64_t epoch = run->recovery.Epoch();
  if (holder == tokens_.Holder()) {
    token_balance own = tokens_.Balance(run->team, epoch);
    run->recovery.Reply(holder, {own.free, own.in_use, own.settled});
    return kj::READY_NOW;
  }
  auto call = mesh_.Reach(HostOf(holder))
                  .then([this, run, holder, epoch](rpc::Peer::Client peer) {
                    // Another process in its place must not reply for it.
                    KJ_REQUIRE(mesh_.ProcessAt(HostOf(holder)) == holder);
                    auto request = peer.tokenBalanceRequest();
                    request.setTeam(rpc::ToText(run->team));
                    request.setEpoch(epoch);
                    return request.send();
                  });
  return timer_
      .timeoutAfter(options_.timing.call_deadline_ms * kj::MILLISECONDS,
                    std::move(call))
      .then(
          [run, holder](capnp::Response<rpc::Peer::TokenBalanceResults> reply) {
            run->recovery.Reply(holder, {reply.getFree(), reply.getInUse(),
                                         reply.getSettled()});
          },
          [](kj::Exception&&) {});
}

kj::Promise<void> token_recovery_duty::Write(attempt_ptr run) {
  auto next = run->recovery.Next(RandomHex(16));
  if (!Ok(next)) {
    LogWarning("quota", "recovery incomplete, team=" + run->team +
                            " reason=" + Error(next).message);
    return kj::READY_NOW;
  }
  std::string key = token_service::KeyOf(run->team);
  std::string value = quota::FormatTokenRecord(Value(next));
  return store_.Put(key, value, run->version, "")
      .then([this, run, key, value](result<put_answer> answer) {
        bool written = Ok(answer) && Value(answer).written;
        LogInfo("quota", std::string("recovery ") +
                             (written ? "written" : "not written") +
                             ", team=" + run->team + " from_epoch=" +
                             std::to_string(run->recovery.Epoch()));
        if (!Ok(answer)) return;
        const stored_value& current = Value(answer).current;
        if (written) {
          tokens_.Observe(run->team, {key, value, current.version, false});
        } else if (current.version != 0) {
          tokens_.Observe(run->team, current);
        }
      });
}

kj::Promise<void> token_recovery_duty::Stop() {
  tasks_ =
      kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
  return lease_.Release();
}

void token_recovery_duty::taskFailed(kj::Exception&& exception) {
  busy_ = false;
  LogWarning("quota", std::string("task failed, reason=") +
                          exception.getDescription().cStr());
}

}  // namespace radishwing::control

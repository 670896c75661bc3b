#include <algorithm>
#include <utility>

#include "src/base/log.h"
#include "src/base/sha256.h"
#include "src/control/token_service.h"
#include "src/quota/token_transitions.h"
#include "src/rpc/convert.h"

namespace radishwing::control {
namespace {

constexpr const char* kTokenPrefix = "tokens/";

std::string ChangeId() { return RandomHex(16); }

}  // namespace

kj::Promise<void> token_service::RecordsLoop() {
  return store_.List(kTokenPrefix)
      .then([this](result<stored_values> list) -> kj::Promise<void> {
        if (!Ok(list)) {
          return timer_.afterDelay(options_.timing.lease_poll_ms *
                                   kj::MILLISECONDS);
        }
        records_revision_ = Value(list).revision;
        for (const auto& item : Value(list).items) {
          Observe(item.key.substr(std::string(kTokenPrefix).size()), item);
        }
        return RecordsWatch();
      })
      .then([this] { return RecordsLoop(); });
}

kj::Promise<void> token_service::RecordsWatch() {
  return store_.Watch(kTokenPrefix, records_revision_)
      .then([this](result<stored_values> seen) -> kj::Promise<void> {
        if (!Ok(seen)) {
          return timer_.afterDelay(options_.timing.lease_poll_ms *
                                   kj::MILLISECONDS);
        }
        records_revision_ = std::max(records_revision_, Value(seen).revision);
        for (const auto& item : Value(seen).items) {
          if (item.deleted) continue;
          Observe(item.key.substr(std::string(kTokenPrefix).size()), item);
        }
        return RecordsWatch();
      });
}

void token_service::Observe(const std::string& team,
                            const stored_value& value) {
  auto& state = teams_[team];
  if (!state) state = std::make_unique<team_state>(holder_, timer_);
  if (value.version <= state->version) return;
  auto record = quota::ParseTokenRecord(value.value);
  if (!Ok(record)) {
    LogError("quota", "record refused, team=" + team +
                          " reason=" + Error(record).message);
    return;
  }
  std::uint64_t epoch = state->account.Epoch();
  state->version = value.version;
  state->record = Value(record);
  state->account.Observe(*state->record, value.version);
  if (state->account.Epoch() != epoch) {
    LogInfo("quota", "epoch adopted, team=" + team +
                         " epoch=" + std::to_string(state->account.Epoch()) +
                         " free=" + std::to_string(state->account.Free()) +
                         " in_use=" + std::to_string(state->account.InUse()));
    state->frozen_since_ms = 0;
  }
  state->credited.Raise();
}

void token_service::FetchTokens(const std::string& team, std::uint32_t want) {
  team_state& state = *teams_.at(team);
  if (std::exchange(state.filling, true)) return;
  tasks_->add(FetchOnce(team, want)
                  .catch_([](kj::Exception&&) {
                    // The entry asks again.
                  })
                  .then([this, team] {
                    team_state& filled = *teams_.at(team);
                    filled.filling = false;
                    filled.credited.Raise();
                  }));
}

kj::Promise<void> token_service::FetchOnce(const std::string& team,
                                           std::uint32_t want) {
  team_state& state = *teams_.at(team);
  if (state.account.Frozen()) return kj::READY_NOW;
  bool from_record = !state.account.Listed() || !state.record.has_value() ||
                     state.record->Unallocated() > 0;
  return from_record ? Take(team, want) : Borrow(team, want);
}

std::uint32_t token_service::FirstShare(
    const quota::token_record& record) const {
  // Half of an even part: a control without demand must not keep tokens that
  // others would have to borrow, and few store writes are wanted.
  std::int64_t members = static_cast<std::int64_t>(mesh_.Rows().size());
  std::int64_t share =
      record.Unallocated() / (2 * std::max<std::int64_t>(members, 1));
  return static_cast<std::uint32_t>(std::max<std::int64_t>(share, 0));
}

result<quota::token_record> token_service::JoinOrTake(
    const std::string& team, std::uint32_t want,
    const std::optional<stored_value>& current) {
  team_state& state = *teams_.at(team);
  quota::token_record record;
  if (current.has_value()) {
    auto parsed = quota::ParseTokenRecord(current->value);
    if (!Ok(parsed)) return Error(parsed);
    record = Value(parsed);
  } else {
    auto settings = keeper_.Tree() ? keeper_.Tree()->teams.find(team)
                                   : decltype(keeper_.Tree()->teams.end()){};
    if (!keeper_.Tree() || settings == keeper_.Tree()->teams.end()) {
      return failure{failure_kind::kNotFound, "the team is not known"};
    }
    record = quota::NewTokenRecord(settings->second.upper_limit, ChangeId());
  }
  std::uint32_t amount =
      std::max({want, FirstShare(record), state.account.Unbacked()});
  if (record.Lists(holder_)) {
    return quota::TakeTokens(record, holder_, state.account.Epoch(), amount,
                             ChangeId());
  }
  std::string predecessor = Predecessor(record);
  if (!predecessor.empty()) {
    if (!MayRegister(team)) {
      return failure{failure_kind::kUnavailable, "no entry has stated tokens"};
    }
    return quota::SucceedHolder(record, predecessor, holder_,
                                state.account.Unbacked(), ChangeId());
  }
  return quota::JoinHolder(record, holder_, amount, ChangeId());
}

kj::Promise<void> token_service::Take(const std::string& team,
                                      std::uint32_t want) {
  record_swap swap;
  swap.key = KeyOf(team);
  swap.seen = [this, team](const stored_value& v) { Observe(team, v); };
  swap.next =
      [this, team, want](
          const std::optional<stored_value>& current) -> result<std::string> {
    auto next = JoinOrTake(team, want, current);
    if (!Ok(next)) return Error(next);
    return quota::FormatTokenRecord(Value(next));
  };
  return SwapRecord(store_, std::move(swap))
      .then(
          [this, team, want](const result<stored_value>&) -> kj::Promise<void> {
            const team_state& state = *teams_.at(team);
            bool enough = want == 0 || state.account.Free() > 0;
            if (enough || !state.account.Listed()) {
              return kj::READY_NOW;
            }
            return Borrow(team, want);
          });
}

std::string token_service::ChooseLender(team_state& state) {
  std::vector<quota::spare_tokens> spares;
  for (const auto& [host, spare] : state.spares) spares.push_back(spare);
  const quota::spare_tokens* best =
      quota::ChooseLender(spares, options_.host, state.account.Epoch());
  if (best != nullptr) return best->holder;
  // Digests name only some teams: ask the listed holders in turn.
  std::vector<std::string> hosts;
  for (const auto& [holder, grant] : state.record->grants) {
    std::string host = holder.substr(0, holder.rfind('#'));
    const membership::member* row = mesh_.Members().Find(host);
    bool asks = host != options_.host && row != nullptr &&
                row->state <= membership::member_state::kSuspect;
    if (asks) hosts.push_back(host);
  }
  return hosts.empty() ? "" : hosts[state.next_lender++ % hosts.size()];
}

kj::Promise<void> token_service::Borrow(const std::string& team,
                                        std::uint32_t want) {
  team_state& state = *teams_.at(team);
  if (!state.record.has_value() || !state.account.Listed()) {
    return kj::READY_NOW;
  }
  std::string lender = ChooseLender(state);
  if (lender.empty()) return kj::READY_NOW;
  state.spares.erase(lender);
  std::uint64_t loan = state.account.BeginBorrow();
  std::uint64_t epoch = state.account.Epoch();
  auto call = mesh_.Reach(lender).then([=, this](rpc::Peer::Client peer) {
    auto request = peer.lendTokensRequest();
    request.setTeam(rpc::ToText(team));
    request.setEpoch(epoch);
    request.setWant(quota::LoanSize(want));
    request.setTaker(rpc::ToText(holder_));
    return request.send();
  });
  return timer_
      .timeoutAfter(options_.timing.call_deadline_ms * kj::MILLISECONDS,
                    std::move(call))
      .then(
          [this, team,
           loan](capnp::Response<rpc::Peer::LendTokensResults> reply) {
            rpc::token_grant lent = rpc::Read(reply.getLent());
            teams_.at(team)->account.FinishBorrow(loan, lent.epoch, lent.count);
          },
          [this, lender](kj::Exception&&) { mesh_.Distrust(lender); });
}

void token_service::WriteGiveBack(const std::string& team,
                                  std::uint32_t count) {
  team_state& state = *teams_.at(team);
  state.giving_back = true;
  std::uint64_t epoch = state.account.Epoch();
  record_swap swap;
  swap.key = KeyOf(team);
  swap.seen = [this, team](const stored_value& v) { Observe(team, v); };
  swap.next =
      [=, this](
          const std::optional<stored_value>& current) -> result<std::string> {
    if (!current) return failure{failure_kind::kNotFound, "no record"};
    auto record = quota::ParseTokenRecord(current->value);
    if (!Ok(record)) return Error(record);
    auto next =
        quota::GiveBackTokens(Value(record), holder_, epoch, count, ChangeId());
    if (!Ok(next)) return Error(next);
    return quota::FormatTokenRecord(Value(next));
  };
  tasks_->add(SwapRecord(store_, std::move(swap))
                  .then([=, this](result<stored_value> written) {
                    team_state& ended = *teams_.at(team);
                    ended.giving_back = false;
                    // After a lost answer the tokens wait for a recovery.
                    if (!Ok(written) &&
                        Error(written).kind != failure_kind::kTimeout &&
                        ended.account.Epoch() == epoch) {
                      ended.account.CancelGiveBack(count);
                    }
                  }));
}

kj::Promise<void> token_service::Leave(const std::string& team) {
  record_swap swap;
  swap.key = KeyOf(team);
  swap.seen = [this, team](const stored_value& v) { Observe(team, v); };
  quota::holder_account& account = teams_.at(team)->account;
  std::uint64_t epoch = account.Epoch();
  std::uint32_t free = account.BeginGiveBack(account.Free());
  bool idle = account.InUse() == 0;
  swap.next =
      [=, this](
          const std::optional<stored_value>& current) -> result<std::string> {
    if (!current) return failure{failure_kind::kNotFound, "no record"};
    auto record = quota::ParseTokenRecord(current->value);
    if (!Ok(record)) return Error(record);
    auto next = idle ? quota::LeaveHolder(Value(record), holder_, epoch, free,
                                          ChangeId())
                     : quota::GiveBackTokens(Value(record), holder_, epoch,
                                             free, ChangeId());
    if (!Ok(next)) return Error(next);
    return quota::FormatTokenRecord(Value(next));
  };
  return SwapRecord(store_, std::move(swap))
      .then([=](result<stored_value> written) {
        LogInfo("quota", std::string(Ok(written) ? "tokens returned"
                                                 : "tokens not returned") +
                             ", team=" + team +
                             " count=" + std::to_string(free));
      });
}

kj::Promise<void> token_service::Stop() {
  stopping_ = true;
  // What a write in progress has taken is observed by the reads that follow.
  tasks_ =
      kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
  kj::Vector<kj::Promise<void>> left;
  for (auto& [team, state] : teams_) {
    if (state->account.Listed() && !state->account.Frozen()) {
      left.add(Leave(team));
    }
  }
  return kj::joinPromises(left.releaseAsArray());
}

}  // namespace radishwing::control

#include "src/control/token_service.h"

#include <algorithm>
#include <utility>

#include "src/base/log.h"

namespace radishwing::control {
namespace {

// How long an entry waits for tokens that have to be fetched. Within the call
// deadline of the entry, with room for a slow decide thread.
constexpr millis kAcquireWaitMs = 500;

// Beyond the bounds that settings give: an entry notices within some seconds
// that it is cut off.
constexpr millis kInUseMarginMs = 10000;

// Teams whose free tokens one digest names. All of 250 teams would take more
// than the 5 KB/s of a control.
constexpr std::size_t kSparesInDigest = 16;

}  // namespace

token_service::token_service(kj::Timer& timer, clock now,
                             const control_options& options, store_port& store,
                             peer_mesh& mesh, settings_keeper& keeper)
    : timer_(timer),
      clock_(std::move(now)),
      options_(options),
      store_(store),
      mesh_(mesh),
      keeper_(keeper),
      holder_(options.host + '#' + std::to_string(options.incarnation)),
      started_ms_(clock_.Now()),
      tasks_(kj::heap<kj::TaskSet>(
          static_cast<kj::TaskSet::ErrorHandler&>(*this))) {}

void token_service::Start() { tasks_->add(RecordsLoop()); }

team_state* token_service::Find(const std::string& team) {
  auto found = teams_.find(team);
  if (found != teams_.end()) return found->second.get();
  bool known = keeper_.Tree() && keeper_.Tree()->teams.contains(team);
  if (!known) return nullptr;
  auto made = std::make_unique<team_state>(holder_, timer_);
  return teams_.emplace(team, std::move(made)).first->second.get();
}

millis token_service::LongestRunMs(const std::string& team) const {
  millis longest = 60000;  // Before any settings are known.
  if (!keeper_.Tree()) return longest;
  longest = 0;
  for (const auto& [name, service] : keeper_.Tree()->services) {
    bool admits = service.teams.empty() ||
                  std::find(service.teams.begin(), service.teams.end(), team) !=
                      service.teams.end();
    if (admits) longest = std::max(longest, service.longest_run_seconds * 1000);
  }
  return longest;
}

millis token_service::InUseMs(const std::string& team) const {
  if (options_.timing.gone_bound_ms > 0) return options_.timing.gone_bound_ms;
  millis bound = LongestRunMs(team) + kInUseMarginMs;
  if (!keeper_.Tree()) return bound;
  auto settings = keeper_.Tree()->teams.find(team);
  if (settings == keeper_.Tree()->teams.end()) return bound;
  return bound + settings->second.cut_off_grace_seconds * 1000;
}

bool token_service::MayRegister(const std::string& team) const {
  return entry_stated_ || clock_.Now() - started_ms_ >= InUseMs(team);
}

std::string token_service::Predecessor(
    const quota::token_record& record) const {
  std::string latest;
  for (const auto& [holder, grant] : record.grants) {
    bool here = quota::HostOfHolder(holder) == options_.host;
    if (here && holder != holder_) latest = holder;
  }
  return latest;
}

void token_service::OnOpened(const std::string& owner,
                             const std::vector<rpc::token_grant>& held) {
  entry_stated_ = true;
  for (const auto& tokens : held) {
    // The settings may not be known yet after a restart of this control.
    auto& state = teams_[tokens.team];
    if (!state) state = std::make_unique<team_state>(holder_, timer_);
  }
  for (auto& [team, state] : teams_) {
    std::uint32_t count = 0;
    for (const auto& tokens : held) {
      if (tokens.team == team) count += tokens.count;
    }
    state->account.Restate(owner, count);
  }
}

void token_service::OnBroken(const std::string& owner) {
  for (auto& [team, state] : teams_) {
    state->account.BreakSession(owner, clock_.Now(), InUseMs(team));
  }
}

kj::Promise<rpc::token_grant> token_service::Acquire(const std::string& owner,
                                                     const std::string& team,
                                                     std::uint32_t want) {
  team_state* state = Find(team);
  if (state == nullptr || stopping_) return rpc::token_grant{team, 0, 0};
  std::uint32_t granted = state->account.Acquire(owner, want);
  if (granted > 0) {
    return rpc::token_grant{team, granted, state->account.Epoch()};
  }
  FetchTokens(team, want);
  return state->credited.Next(kAcquireWaitMs).then([=, this] {
    // The session may have broken meanwhile: the account then grants nothing.
    std::uint32_t later = stopping_ ? 0 : state->account.Acquire(owner, want);
    return rpc::token_grant{team, later, state->account.Epoch()};
  });
}

void token_service::GiveBack(const std::string& owner,
                             const rpc::token_grant& tokens) {
  auto found = teams_.find(tokens.team);
  if (found == teams_.end()) return;
  found->second->account.Return(owner, tokens.count);
  found->second->credited.Raise();
}

rpc::token_grant token_service::Lend(const std::string& team,
                                     std::uint64_t epoch, std::uint32_t want,
                                     const std::string& taker) {
  auto found = teams_.find(team);
  if (found == teams_.end()) return {team, 0, epoch};
  return {team, found->second->account.Lend(epoch, want, taker), epoch};
}

token_balance token_service::Balance(const std::string& team,
                                     std::uint64_t epoch) {
  auto found = teams_.find(team);
  if (found == teams_.end()) return {};
  team_state& state = *found->second;
  quota::token_balance balance = state.account.Freeze(epoch);
  if (balance.settled) state.frozen_since_ms = clock_.Now();
  return {balance.free, balance.in_use, balance.settled};
}

void token_service::Fill(peer_digest& digest) {
  auto start = teams_.upper_bound(next_spare_);
  auto visit = [&](auto first, auto last) {
    for (; first != last && digest.spare_tokens.size() < kSparesInDigest;
         ++first) {
      const quota::holder_account& account = first->second->account;
      next_spare_ = first->first;
      if (account.Free() == 0 || account.Frozen()) continue;
      digest.spare_tokens.push_back(
          {first->first, account.Free(), account.Epoch()});
    }
  };
  visit(start, teams_.end());
  visit(teams_.begin(), start);
}

void token_service::OnDigest(const peer_digest& digest) {
  for (const auto& spare : digest.spare_tokens) {
    auto found = teams_.find(spare.team);
    if (found == teams_.end()) continue;
    found->second->spares[digest.from] = {digest.from, spare.count,
                                          spare.epoch};
  }
}

void token_service::Tick() {
  for (auto& [team, state] : teams_) {
    state->account.Expire(clock_.Now());
    // The entry may hold tokens that a previous process here lent to it. The
    // record must say so before a recovery counts that process as empty.
    bool succeeds =
        state->record.has_value() && !Predecessor(*state->record).empty();
    bool owes = state->account.Unbacked() > 0 || succeeds;
    if (owes && !state->account.Listed() && MayRegister(team)) {
      FetchTokens(team, 0);
    }
    if (state->giving_back) continue;
    std::uint32_t given = state->account.BeginGiveBack(state->account.Excess());
    if (given > 0) WriteGiveBack(team, given);
  }
}

void token_service::taskFailed(kj::Exception&& exception) {
  LogWarning("quota", std::string("task failed, reason=") +
                          exception.getDescription().cStr());
}

}  // namespace radishwing::control

#include <algorithm>
#include <set>

#include "src/control/token_recovery_duty.h"

namespace radishwing::control {

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
    std::string host(quota::HostOfHolder(holder));
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

}  // namespace radishwing::control

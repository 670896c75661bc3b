#include "src/rpc/held_tokens.h"

#include <algorithm>

namespace radishwing::rpc {

void held_tokens::Granted(const token_grant& grant) {
  token_grant& held = by_team_[grant.team];
  held.team = grant.team;
  held.count += grant.count;
  held.epoch = std::max(held.epoch, grant.epoch);
}

token_grant held_tokens::Returned(const token_grant& tokens) {
  auto found = by_team_.find(tokens.team);
  if (found == by_team_.end()) return {tokens.team, 0, tokens.epoch};
  std::uint32_t count = std::min(found->second.count, tokens.count);
  found->second.count -= count;
  token_grant returned{tokens.team, count, found->second.epoch};
  if (found->second.count == 0) by_team_.erase(found);
  return returned;
}

std::vector<token_grant> held_tokens::All() const {
  std::vector<token_grant> all;
  for (const auto& [team, held] : by_team_) all.push_back(held);
  return all;
}

}  // namespace radishwing::rpc

#include <vector>

#include "src/base/log.h"
#include "src/entry/entry_core.h"

namespace radishwing::entry {

using requests::claim_state;

void entry_core::WantTokens(team_state& team,
                            std::weak_ptr<caller_connection> caller,
                            std::uint64_t sequence) {
  if (!team.NeedsToken() || !port_.acquire_tokens) return;
  std::uint32_t want = team.tokens.Want(team.waiting, Now());
  if (want == 0) return;
  team.tokens.Asked();
  port_.acquire_tokens(team.name, want,
                       [this, index = team.index, caller = std::move(caller),
                        sequence](result<rpc::token_grant> answer) {
                         inbox_.Post([this, index, caller, sequence, answer] {
                           OnTokens(index, answer, caller, sequence);
                         });
                       });
}

void entry_core::OnTokens(std::uint32_t index,
                          const result<rpc::token_grant>& answer,
                          const std::weak_ptr<caller_connection>& caller,
                          std::uint64_t sequence) {
  team_state& team = directory_.Team(index);
  if (Ok(answer)) {
    team.tokens.Granted(Value(answer).count, Value(answer).epoch, Now());
    if (Value(answer).count > 0) DispatchAll();
    return;
  }
  team.tokens.AskFailed(Now());
  if (Error(answer).kind != failure_kind::kFull) return;
  CountFullRing();
  // The ring to the link is full: the request that needed it is rejected.
  auto connection = caller.lock();
  if (!connection || connection->Exchange().State().sequence != sequence) {
    return;
  }
  connection->Exchange().RejectQueued(
      {503, "link_busy", "The link to the control process is overloaded"});
}

void entry_core::ReturnIdleTokens() {
  for (auto& team : directory_.Teams()) {
    std::uint32_t idle = team->tokens.TakeIdle();
    if (idle == 0 || !port_.return_tokens) continue;
    port_.return_tokens({team->name, idle, team->tokens.Epoch()});
  }
}

void entry_core::SendClaim(requests::claim claim,
                           std::weak_ptr<caller_connection> caller,
                           std::uint64_t sequence) {
  std::string id = claim.request_id;
  std::string owner = claim.owner;
  port_.claim(std::move(claim), [this, id, owner, caller, sequence](
                                    result<requests::claim_answer> answer) {
    inbox_.Post([this, id, owner, caller, sequence, answer] {
      if (!Ok(answer) && Error(answer).kind == failure_kind::kFull) {
        CountFullRing();
      }
      auto connection = caller.lock();
      if (connection && connection->Exchange().OnClaim(sequence, answer)) {
        return;
      }
      // Its caller went away meanwhile: the claim was made and nothing ran.
      if (Ok(answer) && Value(answer).state == claim_state::kFresh) {
        FinishClaim(id, owner, requests::outcome::kNotRun, 503);
      }
    });
  });
}

void entry_core::FinishClaim(const std::string& scoped_id,
                             const std::string& owner, requests::outcome how,
                             std::uint16_t status) {
  if (port_.finish) port_.finish(scoped_id, owner, how, status);
}

void entry_core::SendJob(rpc::job_request job,
                         std::weak_ptr<caller_connection> caller,
                         std::uint64_t sequence) {
  port_.job(std::move(job),
            [this, caller, sequence](result<rpc::job_answer> answer) {
              inbox_.Post([caller, sequence, answer] {
                auto connection = caller.lock();
                if (connection) connection->Exchange().OnJob(sequence, answer);
              });
            });
}

void entry_core::SendCancel(std::string_view id, std::string_view team,
                            std::weak_ptr<caller_connection> caller,
                            std::uint64_t sequence) {
  port_.cancel_request(id, team, [this, caller, sequence](result<bool> answer) {
    inbox_.Post([caller, sequence, answer] {
      auto connection = caller.lock();
      if (connection) {
        connection->Exchange().OnCancelled(sequence, answer);
      }
    });
  });
}

bool entry_core::CancelLocal(std::string_view id, std::uint32_t team) {
  auto [first, end] = by_id_.equal_range(std::string(id));
  std::vector<exchange*> found;
  for (; first != end; ++first) {
    if (first->second->State().team->index == team) {
      found.push_back(first->second);
    }
  }
  for (exchange* e : found) e->Cancel();
  return !found.empty();
}

void entry_core::CancelForPeer(std::string_view id, std::string_view team) {
  team_state* known = directory_.FindTeam(team);
  if (known) CancelLocal(id, known->index);
}

}  // namespace radishwing::entry

#pragma once

#include <kj/async.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "src/requests/claim.h"
#include "src/rpc/entry_link.h"

namespace radishwing::control {

/// What entry sessions hand on to the other duties of the control. `owner` is
/// "<host>#<incarnation>" of the entry. Hooks that are not set refuse.
struct entry_handlers {
  /// A session opened; `held` are the tokens that the entry has.
  std::function<void(const std::string& owner,
                     const std::vector<rpc::token_grant>& held)>
      on_opened;
  /// The session broke: the entry may go on using its tokens.
  std::function<void(const std::string& owner)> on_broken;
  std::function<void(const std::vector<rpc::team_usage>& usage)> on_usage;
  std::function<kj::Promise<rpc::token_grant>(
      const std::string& owner, const std::string& team, std::uint32_t want)>
      acquire;
  std::function<void(const std::string& owner, const rpc::token_grant&)>
      give_back;
  std::function<kj::Promise<requests::claim_answer>(const requests::claim&)>
      claim;
  std::function<kj::Promise<void>(
      const std::string& request_id, const std::string& owner,
      requests::outcome outcome, std::uint16_t status)>
      finish;
  std::function<kj::Promise<rpc::job_answer>(const rpc::job_request&)> job;
  std::function<kj::Promise<bool>(const std::string& request_id,
                                  const std::string& team)>
      cancel;
};

}  // namespace radishwing::control

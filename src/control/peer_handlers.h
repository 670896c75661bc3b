#pragma once

#include <kj/async.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/control/peer_digest.h"
#include "src/requests/claim.h"
#include "src/rpc/settings_text.h"

namespace radishwing::control {

/// Balance of one team's tokens at one holder.
struct token_balance {
  std::uint32_t free = 0;
  std::uint32_t in_use = 0;
  bool settled = false;  ///< False if the holder is in another epoch.
};

/// What another control asks for. Hooks that are not set refuse. All run on
/// the decide thread.
struct peer_handlers {
  std::function<peer_digest(const peer_digest&)> exchange;
  std::function<rpc::settings_text()> newest_settings;
  std::function<std::uint64_t(const rpc::settings_text&)> offer_settings;
  std::function<rpc::token_grant(const std::string& team, std::uint64_t epoch,
                                 std::uint32_t want, const std::string& taker)>
      lend;
  std::function<token_balance(const std::string& team, std::uint64_t epoch)>
      balance;
  std::function<kj::Promise<requests::claim_answer>(const requests::claim&,
                                                    std::uint64_t roster_epoch)>
      claim;
  std::function<requests::claim_answer(const requests::claim&,
                                       std::uint64_t roster_epoch)>
      replicate;
  std::function<void(const std::string& request_id, const std::string& owner,
                     requests::outcome outcome, std::uint16_t status)>
      finish;
  std::function<kj::Promise<bool>(const std::string& request_id,
                                  const std::string& team)>
      cancel;
  std::function<bool(std::uint64_t roster_epoch,
                     const std::vector<requests::claim>& claims,
                     const std::vector<requests::claim_answer>& answers)>
      hand_over;
};

}  // namespace radishwing::control

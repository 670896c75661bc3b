#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "src/control/change_signal.h"
#include "src/quota/holder_account.h"
#include "src/quota/lending.h"
#include "src/quota/token_record.h"

namespace radishwing::control {

/// Tokens of one team at this control.
struct team_state {
  team_state(const std::string& holder, kj::Timer& timer)
      : account(holder), credited(timer) {}

  quota::holder_account account;
  std::optional<quota::token_record> record;  ///< As of `version`.
  std::uint64_t version = 0;
  bool filling = false;      ///< Tokens are being fetched.
  bool giving_back = false;  ///< A give-back is being written.
  change_signal credited;
  std::map<std::string, quota::spare_tokens> spares;  ///< By host.
  std::size_t next_lender = 0;
  millis frozen_since_ms = 0;
  millis recovered_ms = 0;  ///< Last attempt to recover.
};

}  // namespace radishwing::control

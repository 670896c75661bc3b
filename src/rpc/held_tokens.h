#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/rpc/entry_link.h"

namespace radishwing::rpc {

/// The tokens that an entry holds, as its link thread has passed them on. The
/// link states them when a session opens: they change in the same order as the
/// calls of the session, which the entry's own figures on another thread do
/// not.
class held_tokens {
 public:
  void Granted(const token_grant& grant);

  /// Takes `tokens` out. Returns what may be returned to the control: never
  /// more than is held.
  token_grant Returned(const token_grant& tokens);

  std::vector<token_grant> All() const;

 private:
  std::map<std::string, token_grant> by_team_;
};

}  // namespace radishwing::rpc

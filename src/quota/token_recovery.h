#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/quota/token_balance.h"
#include "src/quota/token_record.h"

namespace radishwing::quota {

/// One attempt to bring a team's tokens to the next epoch. Collects the
/// balances of all holders that the record lists. The next record must be
/// swapped against the version from which `base` was read before the first
/// holder was asked: any change in between makes the swap fail, and the attempt
/// starts over.
class token_recovery {
 public:
  explicit token_recovery(token_record base);

  /// The epoch that the holders are asked to freeze.
  std::uint64_t Epoch() const { return base_.epoch; }

  /// Holders that have neither replied nor are known to run nothing.
  std::vector<std::string> Missing() const;

  /// A holder's reply. Unsettled replies are ignored: ask again later.
  void Reply(std::string_view holder, const token_balance& balance);

  /// The host of `holder` has been off the live list for `gone_ms`. The holder
  /// counts as holding nothing once that reaches `in_use_ms`, the longest time
  /// for which tokens may still be in use there: how long its entry uses them
  /// without a session (the cut-off grace, if the data centre may only be
  /// partitioned) plus the longest run time of the team's services.
  void HostGone(std::string_view holder, millis gone_ms, millis in_use_ms);

  /// A later incarnation on the host of `holder` has been listed in the record
  /// for `listed_ms`; SucceedHolder made it state what the entry holds.
  void Superseded(std::string_view holder, millis listed_ms, millis in_use_ms);

  /// The record of the next epoch: each holder's balance plus an equal part of
  /// the tokens that were lost. Fails with kUnavailable while any is missing.
  result<token_record> Next(std::string_view change_id) const;

 private:
  void CountAsEmpty(std::string_view holder);

  token_record base_;
  std::map<std::string, std::int64_t, std::less<>> balances_;
  std::set<std::string, std::less<>> gone_;
};

}  // namespace radishwing::quota

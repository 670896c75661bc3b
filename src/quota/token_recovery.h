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

  /// `holder` has been off the live list, or replaced by a newer incarnation
  /// on its host, for `gone_ms`. It counts as holding nothing once that reaches
  /// `longest_run_ms`: the longest run time of the team's services, plus the
  /// team's cut-off grace if the data centre of the holder may only be
  /// partitioned, since it keeps using its tokens during that time.
  void Gone(std::string_view holder, millis gone_ms, millis longest_run_ms);

  /// The record of the next epoch: each holder's balance plus an equal part of
  /// the tokens that were lost. Fails with kUnavailable while any is missing.
  result<token_record> Next(std::string_view change_id) const;

 private:
  token_record base_;
  std::map<std::string, std::int64_t, std::less<>> balances_;
  std::set<std::string, std::less<>> gone_;
};

}  // namespace radishwing::quota

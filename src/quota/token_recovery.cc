#include "src/quota/token_recovery.h"

#include <algorithm>
#include <utility>

namespace radishwing::quota {

token_recovery::token_recovery(token_record base) : base_(std::move(base)) {}

std::vector<std::string> token_recovery::Missing() const {
  std::vector<std::string> missing;
  for (const auto& [holder, grant] : base_.grants) {
    if (!balances_.contains(holder) && !gone_.contains(holder)) {
      missing.push_back(holder);
    }
  }
  return missing;
}

void token_recovery::Reply(std::string_view holder,
                           const token_balance& balance) {
  if (!balance.settled || !base_.Lists(holder)) return;
  gone_.erase(std::string(holder));
  balances_.insert_or_assign(std::string(holder),
                             std::int64_t{balance.free} + balance.in_use);
}

void token_recovery::HostGone(std::string_view holder, millis gone_ms,
                              millis in_use_ms) {
  if (gone_ms >= in_use_ms) CountAsEmpty(holder);
}

void token_recovery::Superseded(std::string_view holder, millis listed_ms,
                                millis in_use_ms) {
  const bool replaced = std::any_of(
      base_.grants.begin(), base_.grants.end(), [holder](const auto& item) {
        return item.first != holder &&
               HostOfHolder(item.first) == HostOfHolder(holder);
      });
  if (replaced && listed_ms >= in_use_ms) CountAsEmpty(holder);
}

// A balance that it reported before it went is free again as well.
void token_recovery::CountAsEmpty(std::string_view holder) {
  if (!base_.Lists(holder)) return;
  balances_.erase(std::string(holder));
  gone_.insert(std::string(holder));
}

result<token_record> token_recovery::Next(std::string_view change_id) const {
  const std::vector<std::string> missing = Missing();
  if (!missing.empty()) {
    return failure{failure_kind::kUnavailable,
                   "no balance yet from holder \"" + missing.front() + "\""};
  }
  token_record next;
  next.epoch = base_.epoch + 1;
  next.limit = base_.limit;
  next.change_id = change_id;
  std::int64_t lost = base_.limit;
  for (const auto& [holder, balance] : balances_) lost -= balance;
  lost = std::max<std::int64_t>(0, lost);
  auto left = static_cast<std::int64_t>(balances_.size());
  for (const auto& [holder, balance] : balances_) {
    const std::int64_t part = lost / left;
    next.grants.emplace(holder, balance + part);
    lost -= part;
    --left;
  }
  return next;
}

}  // namespace radishwing::quota

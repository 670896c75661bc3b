#include "src/quota/holder_account.h"

#include <algorithm>
#include <utility>

#include "src/quota/lending.h"

namespace radishwing::quota {
namespace {

// A request whose reply never comes must not occupy memory for ever.
constexpr std::size_t kMaxOpenLoans = 64;

}  // namespace

holder_account::holder_account(std::string holder)
    : holder_(std::move(holder)) {}

void holder_account::Observe(const token_record& record,
                             std::uint64_t store_version) {
  if (store_version <= store_version_) return;
  store_version_ = store_version;
  record_ = record;
  const auto own = record.grants.find(holder_);
  const std::int64_t grant = own == record.grants.end() ? 0 : own->second;
  listed_ = own != record.grants.end();
  if (record.epoch != epoch_) {
    Adopt(record, grant);
    return;
  }
  // A reduced grant is a give-back, debited when it began.
  const std::int64_t taken = grant - granted_;
  granted_ = grant;
  if (taken > 0 && !frozen_) Credit(static_cast<std::uint32_t>(taken));
}

void holder_account::Adopt(const token_record& record, std::int64_t grant) {
  const std::int64_t free = std::max<std::int64_t>(0, grant) - in_use_;
  epoch_ = record.epoch;
  granted_ = grant;
  frozen_ = false;
  open_loans_.clear();
  free_ = static_cast<std::uint32_t>(std::max<std::int64_t>(0, free));
  unbacked_ = static_cast<std::uint32_t>(std::max<std::int64_t>(0, -free));
}

void holder_account::Credit(std::uint32_t count) {
  const std::uint32_t paid = std::min(count, unbacked_);
  unbacked_ -= paid;
  free_ += count - paid;
}

std::uint32_t holder_account::BeginGiveBack(std::uint32_t count) {
  if (frozen_ || !listed_) return 0;
  const std::uint32_t given = std::min(count, free_);
  free_ -= given;
  return given;
}

void holder_account::CancelGiveBack(std::uint32_t count) {
  // While frozen, the balance without these tokens may have been reported.
  if (!frozen_ && listed_) Credit(count);
}

std::uint32_t holder_account::Excess() const {
  if (!record_.LimitPending() || record_.grants.empty()) return 0;
  const auto holders = static_cast<std::int64_t>(record_.grants.size());
  const std::int64_t portion = record_.limit / holders;
  const std::int64_t above = free_ + std::int64_t{in_use_} - portion;
  const std::int64_t pending = record_.Circulating() - record_.limit;
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      std::min(above, pending), 0, static_cast<std::int64_t>(free_)));
}

std::uint32_t holder_account::Lend(std::uint64_t epoch, std::uint32_t want,
                                   std::string_view borrower) {
  if (epoch != epoch_ || frozen_ || !listed_) return 0;
  if (borrower == holder_ || !record_.Lists(borrower)) return 0;
  const std::uint32_t lent = std::min(want, LoanMaximum(free_));
  free_ -= lent;
  return lent;
}

std::uint64_t holder_account::BeginBorrow() {
  if (open_loans_.size() == kMaxOpenLoans) {
    open_loans_.erase(open_loans_.begin());
  }
  open_loans_.insert(next_loan_);
  return next_loan_++;
}

std::uint32_t holder_account::FinishBorrow(std::uint64_t loan,
                                           std::uint64_t epoch,
                                           std::uint32_t count) {
  if (open_loans_.erase(loan) == 0) return 0;
  if (epoch != epoch_ || frozen_ || !listed_) return 0;
  Credit(count);
  return count;
}

token_balance holder_account::Freeze(std::uint64_t epoch) {
  if (epoch != epoch_ || !listed_) return {};
  frozen_ = true;
  return {free_, in_use_, true};
}

std::uint32_t holder_account::Acquire(std::string_view entry,
                                      std::uint32_t want) {
  const std::uint32_t granted = std::min(want, BatchMaximum(free_));
  if (granted == 0) return 0;
  entry_loan& loan = entries_[std::string(entry)];
  if (loan.broken) return 0;
  loan.count += granted;
  free_ -= granted;
  in_use_ += granted;
  return granted;
}

void holder_account::Release(entry_loan& loan, std::uint32_t count) {
  const std::uint32_t released = std::min(count, loan.count);
  loan.count -= released;
  in_use_ -= released;
  Credit(released);
}

void holder_account::Return(std::string_view entry, std::uint32_t count) {
  const auto found = entries_.find(entry);
  if (found != entries_.end()) Release(found->second, count);
}

void holder_account::BreakSession(std::string_view entry, millis now,
                                  millis in_use_ms) {
  const auto found = entries_.find(entry);
  if (found == entries_.end() || found->second.broken) return;
  if (found->second.count == 0) {
    entries_.erase(found);
    return;
  }
  found->second.broken = true;
  found->second.free_at = now + in_use_ms;
}

void holder_account::Restate(std::string_view entry, std::uint32_t held) {
  entry_loan& loan = entries_[std::string(entry)];
  loan.broken = false;
  if (held <= loan.count) {
    Release(loan, loan.count - held);
    return;
  }
  const std::uint32_t unknown = held - loan.count;
  const std::uint32_t covered = std::min(unknown, free_);
  loan.count = held;
  in_use_ += unknown;
  free_ -= covered;
  unbacked_ += unknown - covered;
}

void holder_account::Expire(millis now) {
  for (auto next = entries_.begin(); next != entries_.end();) {
    const auto item = next++;
    if (!item->second.broken || item->second.free_at > now) continue;
    Release(item->second, item->second.count);
    entries_.erase(item);
  }
}

}  // namespace radishwing::quota

#include "tests/quota/token_world.h"

#include <algorithm>

namespace radishwing::test {
namespace {

using namespace quota;

constexpr millis kUseWithoutSession = 1500;
constexpr millis kLongestRun = 500;
constexpr millis kInUse = kUseWithoutSession + kLongestRun;

}  // namespace

token_world::token_world(choices& choices) : choices_(choices) {
  history_.push_back({FormatTokenRecord(NewTokenRecord(12, "new")), 1});
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    CrashControl(hosts_[i]);
    hosts_[i].holder = "h" + std::to_string(i) + "#1";
    hosts_[i].dead.clear();
    hosts_[i].account.emplace(hosts_[i].holder);
    hosts_[i].entry = "e" + std::to_string(i) + "#1";
    hosts_[i].session = true;
  }
}

token_record token_world::Read() const {
  return Value(ParseTokenRecord(history_.back().text));
}

void token_world::Observe(host& host, bool stale) {
  const std::size_t back =
      stale ? choices_.Below(std::min<std::size_t>(4, history_.size())) : 0;
  const stored& seen = history_[history_.size() - 1 - back];
  if (host.account) {
    host.account->Observe(Value(ParseTokenRecord(seen.text)), seen.version);
  }
}

token_world::write_end token_world::Write(const token_record& next,
                                          std::uint64_t expected) {
  const bool matches = expected == history_.back().version;
  if (choices_.Chance(10)) {
    delayed_.push_back({expected, FormatTokenRecord(next)});
    return write_end::kLost;
  }
  if (matches) history_.push_back({FormatTokenRecord(next), expected + 1});
  if (choices_.Chance(10)) return write_end::kLost;
  return matches ? write_end::kDone : write_end::kRefused;
}

void token_world::LandDelayedWrite() {
  if (delayed_.empty()) return;
  const delayed_write write = delayed_.front();
  delayed_.erase(delayed_.begin());
  if (write.expected == history_.back().version) {
    history_.push_back({write.text, write.expected + 1});
  }
}

void token_world::Join(host& host) {
  if (!host.account || !host.session) return;
  const token_record record = Read();
  std::string listed;
  for (const std::string& dead : host.dead) {
    if (record.Lists(dead)) listed = dead;
  }
  const auto next =
      listed.empty()
          ? JoinHolder(record, host.holder, choices_.Below(13), "join")
          : SucceedHolder(record, listed, host.holder, host.held, "succeed");
  if (!Ok(next)) return;
  Write(Value(next), history_.back().version);
  Observe(host, false);
}

void token_world::TakeOrGiveBack(host& host) {
  if (!host.account) return;
  const token_record record = Read();
  const std::uint64_t version = history_.back().version;
  if (choices_.Chance(50)) {
    const auto next = TakeTokens(record, host.holder, host.account->Epoch(),
                                 choices_.Below(6), "take");
    if (Ok(next) && Write(Value(next), version) == write_end::kDone) {
      Observe(host, false);
    }
    return;
  }
  const std::uint32_t count = host.account->BeginGiveBack(choices_.Below(6));
  const auto next =
      GiveBackTokens(record, host.holder, host.account->Epoch(), count, "give");
  if (!Ok(next) || Write(Value(next), version) == write_end::kRefused) {
    refused_.push_back({host.holder, 0, 0, count});
  }
}

void token_world::Borrow(host& host) {
  std::optional<holder_account>& lender =
      hosts_[choices_.Below(hosts_.size())].account;
  if (!host.account || !lender) return;
  const std::uint64_t loan = host.account->BeginBorrow();
  const std::uint64_t epoch = host.account->Epoch();
  const std::uint32_t lent =
      lender->Lend(epoch, choices_.Below(6), host.holder);
  loans_.push_back({host.holder, loan, epoch, lent});
}

void token_world::DeliverLoan() {
  if (loans_.empty()) return;
  const std::size_t index = choices_.Below(loans_.size());
  const loan_reply reply = loans_[index];
  const std::size_t fate = choices_.Below(10);
  if (fate < 8) loans_.erase(loans_.begin() + static_cast<long>(index));
  if (fate < 2) return;  // Lost; above 7 it is delivered twice.
  for (host& host : hosts_) {
    if (!host.account || host.holder != reply.borrower) continue;
    host.account->FinishBorrow(reply.loan, reply.epoch, reply.count);
  }
}

void token_world::LearnRefusal() {
  if (refused_.empty()) return;
  const loan_reply refusal = refused_.back();
  refused_.pop_back();
  for (host& host : hosts_) {
    if (host.account && host.holder == refusal.borrower) {
      host.account->CancelGiveBack(refusal.count);
    }
  }
}

void token_world::UseTokens(host& host) {
  if (!host.account || !host.session) return;
  if (choices_.Chance(50)) {
    const std::uint32_t count = choices_.Below(host.held + 1);
    host.held -= count;
    host.account->Return(host.entry, count);
    return;
  }
  const std::uint32_t granted =
      host.account->Acquire(host.entry, choices_.Below(6));
  if (choices_.Chance(10)) {
    BreakSession(host);  // The answer is lost with the session.
  } else {
    host.held += granted;
  }
}

void token_world::BreakSession(host& host) {
  if (!host.session) return;
  host.session = false;
  host.session_broken_at = now_;
  if (host.account) host.account->BreakSession(host.entry, now_, kInUse);
}

void token_world::Reconnect(host& host) {
  if (host.session || !host.account) return;
  host.session = true;
  host.account->Restate(host.entry, host.held);
}

void token_world::CrashControl(host& host) {
  BreakSession(host);
  host.dead.push_back(host.holder);
  const auto index = std::to_string(&host - hosts_.data());
  host.holder = "h" + index + "#" + std::to_string(++host.incarnation + 1);
  host.account.emplace(host.holder);
}

void token_world::CrashEntry(host& host) {
  millis ends_at = now_ + kLongestRun;
  if (!host.session) {
    ends_at = std::min(ends_at, host.session_broken_at + kInUse);
  }
  remaining_.push_back({host.held, ends_at});
  host.held = 0;
  BreakSession(host);
  const auto index = std::to_string(&host - hosts_.data());
  host.entry = "e" + index + "#" + std::to_string(++host.entry_incarnation + 1);
}

void token_world::Leave(host& host) {
  if (!host.account || !host.session || host.account->InUse() > 0) return;
  const auto next = LeaveHolder(Read(), host.holder, host.account->Epoch(),
                                host.account->Free(), "leave");
  if (!Ok(next)) return;
  CrashControl(host);
  Write(Value(next), history_.back().version);
}

void token_world::Recover() {
  if (recoveries_.empty() || choices_.Chance(10)) {
    if (recoveries_.size() > 1) recoveries_.erase(recoveries_.begin());
    recoveries_.push_back({token_recovery(Read()), history_.back().version});
  }
  recovery& current = recoveries_[choices_.Below(recoveries_.size())];
  for (host& host : hosts_) {
    if (!host.account || choices_.Chance(50)) continue;
    const token_balance balance = host.account->Freeze(current.attempt.Epoch());
    if (!choices_.Chance(10)) current.attempt.Reply(host.holder, balance);
    const auto listed = listed_since_.find(host.holder);
    if (listed == listed_since_.end()) continue;
    for (const std::string& dead : host.dead) {
      current.attempt.Superseded(dead, now_ - listed->second, kInUse);
    }
  }
  const auto next = current.attempt.Next("recover");
  if (Ok(next)) Write(Value(next), current.base_version);
}

void token_world::PassTime() {
  now_ += static_cast<millis>(choices_.Below(200));
  std::erase_if(remaining_, [this](const remaining_work& work) {
    return work.ends_at <= now_;
  });
  const token_record record = Read();
  for (host& host : hosts_) {
    if (record.Lists(host.holder)) listed_since_.emplace(host.holder, now_);
    if (!host.session && now_ - host.session_broken_at >= kInUse) host.held = 0;
    if (host.account) host.account->Expire(now_);
  }
}

std::string token_world::Step() {
  host& host = hosts_[choices_.Below(hosts_.size())];
  switch (choices_.Below(24)) {
    case 0:
      Join(host);
      break;
    case 1:
      TakeOrGiveBack(host);
      break;
    case 2:
      LearnRefusal();
      break;
    case 3:
      BreakSession(host);
      break;
    case 4:
      Reconnect(host);
      break;
    case 5:
      if (choices_.Chance(30)) CrashControl(host);
      break;
    case 6:
      if (choices_.Chance(30)) CrashEntry(host);
      break;
    case 7:
      if (choices_.Chance(20)) Leave(host);
      break;
    case 8:
      LandDelayedWrite();
      Observe(host, true);
      break;
    case 9:
      if (choices_.Chance(20)) ChangeLimit();
      break;
    case 10:
      PassTime();
      break;
    case 11:
    case 12:
      Observe(host, false);
      break;
    default:
      StepWithoutStore(host);
  }
  return Check();
}

void token_world::StepWithoutStore(host& host) {
  switch (choices_.Below(4)) {
    case 0:
      Borrow(host);
      break;
    case 1:
      DeliverLoan();
      break;
    case 2:
      UseTokens(host);
      break;
    default:
      Recover();
  }
}

void token_world::ChangeLimit() {
  Write(SetLimit(Read(), 4 + choices_.Below(12), "limit"),
        history_.back().version);
}

std::string token_world::Check() {
  const token_record record = Read();
  // Only a lowered limit may be exceeded, and by no more than before.
  allowed_ = std::max<std::int64_t>(record.limit,
                                    std::min(allowed_, record.Circulating()));
  std::int64_t usable = 0;
  for (const host& host : hosts_) {
    usable += host.held + (host.account ? host.account->Free() : 0);
  }
  for (const remaining_work& work : remaining_) usable += work.count;
  if (usable <= allowed_ && record.Circulating() <= allowed_) return {};
  return "I4: " + std::to_string(usable) + " tokens usable, " +
         std::to_string(record.Circulating()) + " circulating, " +
         std::to_string(allowed_) + " allowed";
}

}  // namespace radishwing::test

#include "src/requests/claim_table.h"

#include <algorithm>
#include <utility>

namespace radishwing::requests {
namespace {

bool SameRequest(const claim& a, const claim& b) {
  return a.team == b.team && a.digest == b.digest;
}

bool NotRun(const claim_answer& answer) {
  return answer.state == claim_state::kFinished &&
         answer.outcome == outcome::kNotRun;
}

claim_answer Running() { return {claim_state::kRunning, outcome::kNone, 0}; }

}  // namespace

std::size_t claim_table::string_hash::operator()(std::string_view text) const {
  return std::hash<std::string_view>()(text);
}

claim_table::claim_table(std::string self, claim_table_options options)
    : self_(std::move(self)), options_(options) {}

std::string claim_table::PrimaryOf(std::string_view request_id) const {
  const claim_copies copies = ChooseCopies(roster_.members, request_id);
  return copies.primary == nullptr ? std::string() : copies.primary->id;
}

bool claim_table::PossiblyLost(std::string_view request_id) const {
  const claim_copies now = ChooseCopies(roster_.members, request_id);
  const auto knows = [&now](const former_roster& former,
                            const roster_member* copy) {
    if (copy == nullptr || copy->removed) return false;
    return former.settled || now.Include(copy->id);
  };
  return std::any_of(
      roster_.former.begin(), roster_.former.end(),
      [&](const former_roster& former) {
        const claim_copies old = ChooseCopies(former.members, request_id);
        return !knows(former, old.primary) && !knows(former, old.second);
      });
}

claim_answer claim_table::AnswerFrom(const entry& held,
                                     const claim& claim) const {
  if (!SameRequest(held.claim, claim)) {
    return {claim_state::kConflict, outcome::kNone, 0};
  }
  return held.answer;
}

bool claim_table::Reopens(const entry& held, const claim& claim) const {
  return NotRun(held.answer) && held.claim.owner != claim.owner &&
         SameRequest(held.claim, claim);
}

bool claim_table::HasRoom(millis now) {
  if (entries_.size() >= options_.capacity) Expire(now);
  return entries_.size() < options_.capacity;
}

void claim_table::SetExpiry(entry& entry, millis now) {
  entry.expires_at = now + options_.retention_ms;
  if (entry.answer.state != claim_state::kFinished) {
    entry.expires_at += options_.longest_run_ms;
  }
  expiry_.emplace(entry.expires_at, entry.claim.request_id);
}

void claim_table::Store(const requests::claim& claim, claim_answer answer,
                        bool confirmed, millis now) {
  entry& stored = entries_[claim.request_id];
  stored = {claim, answer, confirmed, 0};
  SetExpiry(stored, now);
}

claim_step claim_table::BeginClaim(const claim& claim,
                                   std::uint64_t roster_epoch, millis now) {
  const claim_copies copies = ChooseCopies(roster_.members, claim.request_id);
  if (roster_epoch > roster_.epoch || copies.primary == nullptr ||
      copies.primary->id != self_) {
    return {};
  }
  const auto held = entries_.find(claim.request_id);
  if (held != entries_.end()) {
    if (!Reopens(held->second, claim)) {
      return {AnswerFrom(held->second, claim), {}, 0};
    }
    // A lost copy may know of a later run.
    if (PossiblyLost(claim.request_id)) return {};
    replaced_[claim.request_id] = held->second;
  } else if (PossiblyLost(claim.request_id) || !HasRoom(now)) {
    return {};
  }
  const outcome before =
      held == entries_.end() ? outcome::kNone : outcome::kNotRun;
  const bool single = copies.second == nullptr;
  Store(claim, Running(), single, now);
  if (single) {
    replaced_.erase(claim.request_id);
    return {{claim_state::kFresh, before, 0}, {}, 0};
  }
  return {{}, copies.second->id, roster_.epoch};
}

claim_answer claim_table::EndClaim(const claim& claim,
                                   const std::optional<claim_answer>& second,
                                   millis now) {
  const auto held = entries_.find(claim.request_id);
  if (held == entries_.end() || held->second.claim.owner != claim.owner ||
      held->second.confirmed) {
    return {};
  }
  // A lost reply leaves the claim tentative: the second may have recorded it.
  if (!second) return {};
  if (second->state == claim_state::kFresh) {
    held->second.confirmed = true;
    const bool reopened = replaced_.erase(claim.request_id) > 0;
    return {claim_state::kFresh, reopened ? outcome::kNotRun : outcome::kNone,
            0};
  }
  const auto previous = replaced_.find(claim.request_id);
  if (previous != replaced_.end()) {
    held->second = previous->second;
    SetExpiry(held->second, now);
    replaced_.erase(previous);
  } else if (second->state == claim_state::kRunning ||
             second->state == claim_state::kFinished) {
    requests::claim foreign = claim;
    foreign.owner.clear();
    Store(foreign, *second, true, now);
  } else {
    entries_.erase(held);
  }
  return *second;
}

claim_answer claim_table::Replicate(const claim& claim,
                                    std::uint64_t roster_epoch, millis now) {
  if (roster_epoch != roster_.epoch) return {};
  const claim_copies copies = ChooseCopies(roster_.members, claim.request_id);
  if (copies.second == nullptr || copies.second->id != self_) return {};
  const auto held = entries_.find(claim.request_id);
  if (held != entries_.end()) {
    if (!Reopens(held->second, claim)) return AnswerFrom(held->second, claim);
    if (PossiblyLost(claim.request_id)) return {};
  } else if (PossiblyLost(claim.request_id) || !HasRoom(now)) {
    return {};
  }
  Store(claim, Running(), true, now);
  return {claim_state::kFresh, outcome::kNone, 0};
}

void claim_table::Finish(std::string_view request_id, std::string_view owner,
                         outcome outcome, std::uint16_t status, millis now) {
  const auto held = entries_.find(request_id);
  if (held == entries_.end()) return;
  entry& entry = held->second;
  if (entry.answer.state != claim_state::kRunning) return;
  // A claim known only from the other copy has no owner here. It must not be
  // reopened by a finish that may belong to an earlier owner.
  const bool foreign = entry.claim.owner.empty() && outcome != outcome::kNotRun;
  if (entry.claim.owner != owner && !foreign) return;
  entry.answer = {claim_state::kFinished, outcome, status};
  SetExpiry(entry, now);
}

void claim_table::Expire(millis now, std::size_t budget) {
  while (budget-- > 0 && !expiry_.empty() && expiry_.begin()->first <= now) {
    const auto held = entries_.find(expiry_.begin()->second);
    if (held != entries_.end() && held->second.expires_at <= now) {
      replaced_.erase(held->first);
      entries_.erase(held);
    }
    expiry_.erase(expiry_.begin());
  }
}

}  // namespace radishwing::requests

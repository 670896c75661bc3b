// The part of claim_table that follows roster changes.
#include <algorithm>

#include "src/requests/claim_table.h"

namespace radishwing::requests {
namespace {

// Which of two records of one identifier says more: the end of a run, then a
// run, then a claim that was not run and may be reopened.
int Weight(const claim_answer& answer) {
  if (answer.state != claim_state::kFinished) return 1;
  return answer.outcome == outcome::kNotRun ? 0 : 2;
}

}  // namespace

void claim_table::ObserveRoster(const roster_record& record, millis now) {
  if (record.epoch < roster_.epoch) return;
  const bool newer = record.epoch > roster_.epoch;
  roster_ = record;
  if (newer) PlanHandOver();
  std::erase_if(former_seen_, [&record](const auto& item) {
    return std::none_of(
        record.former.begin(), record.former.end(),
        [&item](const former_roster& f) { return f.epoch == item.first; });
  });
  for (const former_roster& former : record.former) {
    if (former.settled) former_seen_.emplace(former.epoch, now);
  }
  if (record.unsettled.empty()) DropForeign();
}

void claim_table::DropForeign() {
  if (!roster_.Lists(self_)) return;
  std::erase_if(entries_, [this](const auto& item) {
    return !ChooseCopies(roster_.members, item.first).Include(self_);
  });
}

bool claim_table::NeedsCopy(std::string_view request_id,
                            std::string_view target) const {
  return std::any_of(
      roster_.former.begin(), roster_.former.end(),
      [&](const former_roster& former) {
        return !former.settled &&
               !ChooseCopies(former.members, request_id).Include(target);
      });
}

// Claims that are recorded later are recorded at both copies of the new roster,
// so that the plan made when its epoch is first seen stays complete.
void claim_table::PlanHandOver() {
  hand_over_.clear();
  if (roster_.unsettled.empty()) return;
  for (const auto& [id, entry] : entries_) {
    const claim_copies copies = ChooseCopies(roster_.members, id);
    for (const roster_member* copy : {copies.primary, copies.second}) {
      if (copy == nullptr || copy->id == self_) continue;
      if (NeedsCopy(id, copy->id)) hand_over_[copy->id].push_back(id);
    }
  }
}

std::vector<std::string> claim_table::HandOverTargets() const {
  std::vector<std::string> targets;
  for (const auto& [target, ids] : hand_over_) targets.push_back(target);
  return targets;
}

std::vector<handed_claim> claim_table::HandOverTo(
    std::string_view target) const {
  std::vector<handed_claim> claims;
  const auto planned = hand_over_.find(target);
  if (planned == hand_over_.end()) return claims;
  for (const std::string& id : planned->second) {
    const auto held = entries_.find(id);
    if (held == entries_.end()) continue;
    claims.push_back({held->second.claim, held->second.answer});
  }
  return claims;
}

void claim_table::HandOverAccepted(std::string_view target,
                                   std::uint64_t epoch) {
  if (epoch == roster_.epoch) hand_over_.erase(std::string(target));
}

bool claim_table::ReadyToAcknowledge() const {
  return roster_.unsettled.contains(self_) && hand_over_.empty();
}

bool claim_table::AcceptHandOver(std::uint64_t epoch,
                                 std::span<const handed_claim> claims,
                                 millis now) {
  if (epoch != roster_.epoch) return false;
  Expire(now);
  if (entries_.size() + claims.size() > 2 * options_.capacity) return false;
  for (const handed_claim& handed : claims) Merge(handed, now);
  return true;
}

void claim_table::Merge(const handed_claim& handed, millis now) {
  const auto held = entries_.find(handed.claim.request_id);
  if (held != entries_.end() &&
      Weight(held->second.answer) >= Weight(handed.answer)) {
    return;
  }
  replaced_.erase(handed.claim.request_id);
  Store(handed.claim, handed.answer, true, now);
}

std::optional<std::uint64_t> claim_table::ForgettableFormer(millis now) const {
  for (const auto& [epoch, seen] : former_seen_) {
    if (now - seen >= options_.retention_ms + options_.longest_run_ms) {
      return epoch;
    }
  }
  return std::nullopt;
}

}  // namespace radishwing::requests

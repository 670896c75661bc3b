#include "src/requests/roster_transitions.h"

#include <algorithm>
#include <string>
#include <utility>

namespace radishwing::requests {
namespace {

// Rosters since the last settled one, after several forced removals. Beyond
// that the record states that every claim may be lost.
constexpr std::size_t kMaxFormer = 24;

failure Conflict(std::string_view id, std::string_view text) {
  return {failure_kind::kConflict,
          "roster member \"" + std::string(id) + "\" " + std::string(text)};
}

// A former roster without members has no copy of any claim.
void BoundFormer(roster_record& next) {
  if (next.former.size() <= kMaxFormer) return;
  const std::uint64_t epoch = next.former.back().epoch;
  next.former.clear();
  next.former.push_back({epoch, {}, true});
}

roster_record NextEpoch(const roster_record& record,
                        std::string_view change_id) {
  roster_record next = record;
  next.change_id = change_id;
  if (!record.members.empty()) {
    next.former.push_back({record.epoch, record.members, false});
    BoundFormer(next);
  }
  ++next.epoch;
  return next;
}

void RequireAcknowledgements(roster_record& next) {
  next.unsettled.clear();
  for (const roster_member& member : next.members) {
    next.unsettled.insert(member.id);
  }
}

// With one member gone, every claim has its other copy, and that one has been
// handed over.
bool NothingLost(const former_roster& former) {
  const auto removed =
      std::count_if(former.members.begin(), former.members.end(),
                    [](const roster_member& m) { return m.removed; });
  if (former.members.empty()) return false;
  return removed == 0 || (removed == 1 && former.members.size() >= 2);
}

void Settle(roster_record& next) {
  std::erase_if(next.former, [](const former_roster& former) {
    return !former.settled && NothingLost(former);
  });
  for (former_roster& former : next.former) former.settled = true;
}

}  // namespace

result<roster_record> AddMember(const roster_record& record,
                                std::string_view id,
                                std::string_view data_centre,
                                std::string_view change_id) {
  if (!record.unsettled.empty()) {
    return Conflict(id, "must wait for the hand-over of \"" +
                            *record.unsettled.begin() + "\"");
  }
  for (const roster_member& member : record.members) {
    if (HostOf(member.id) == HostOf(id)) {
      return Conflict(id, "is on the same host as \"" + member.id + "\"");
    }
  }
  roster_record next = NextEpoch(record, change_id);
  next.members.push_back({std::string(id), std::string(data_centre), false});
  RequireAcknowledgements(next);
  return next;
}

result<roster_record> RemoveMember(const roster_record& record,
                                   std::string_view id,
                                   std::string_view change_id) {
  if (!record.Lists(id)) return Conflict(id, "is not listed");
  if (!record.unsettled.empty() && !record.unsettled.contains(id)) {
    return Conflict(id, "must wait for the hand-over of \"" +
                            *record.unsettled.begin() + "\"");
  }
  roster_record next = NextEpoch(record, change_id);
  std::erase_if(next.members,
                [id](const roster_member& m) { return m.id == id; });
  for (former_roster& former : next.former) {
    if (former.settled) continue;
    for (roster_member& member : former.members) {
      if (member.id == id) member.removed = true;
    }
  }
  RequireAcknowledgements(next);
  if (next.members.empty()) Settle(next);
  return next;
}

result<roster_record> AcknowledgeHandOver(const roster_record& record,
                                          std::string_view id,
                                          std::uint64_t epoch,
                                          std::string_view change_id) {
  if (record.epoch != epoch) return Conflict(id, "is in another epoch");
  if (!record.unsettled.contains(id)) {
    return Conflict(id, "owes no acknowledgement");
  }
  roster_record next = record;
  next.change_id = change_id;
  next.unsettled.erase(std::string(id));
  if (next.unsettled.empty()) Settle(next);
  return next;
}

result<roster_record> ForgetFormer(const roster_record& record,
                                   std::uint64_t epoch,
                                   std::string_view change_id) {
  roster_record next = record;
  next.change_id = change_id;
  const std::size_t erased =
      std::erase_if(next.former, [epoch](const former_roster& former) {
        return former.epoch == epoch && former.settled;
      });
  if (erased == 0) {
    return failure{
        failure_kind::kConflict,
        "no settled former roster of epoch " + std::to_string(epoch)};
  }
  return next;
}

}  // namespace radishwing::requests

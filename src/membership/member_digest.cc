#include <xxhash.h>

#include <algorithm>

#include "src/membership/member_table.h"

namespace radishwing::membership {
namespace {

// Beats of other members in a digest. In the full mesh they only bridge a
// broken link: each row then travels through others about every 3 s from each.
constexpr std::size_t kInTurnFullMesh = 2;
// In the partial mesh most news come through others. Each of 64 members then
// passes every row on about twice a second.
constexpr std::size_t kInTurnPartialMesh = 10;

// A digest that was lost is made good after this many.
constexpr std::uint64_t kFullDigestEvery = 8;

bool SameExceptHeartbeat(const member& a, const member& b) {
  return a.incarnation == b.incarnation && a.state == b.state &&
         a.address == b.address && a.settings_revision == b.settings_revision &&
         a.host_epochs == b.host_epochs;
}

// Names one incarnation of a host: a beat must not count for another one.
std::uint64_t BeatTag(const member& row) {
  return XXH3_64bits_withSeed(row.host.data(), row.host.size(),
                              row.incarnation);
}

}  // namespace

std::vector<member> member_table::Digest(std::string_view to) {
  bool full = digests_[std::string(to)]++ % kFullDigestEvery == 0;
  std::vector<member> rows;
  auto told_self = told_self_.find(to);
  if (full || told_self == told_self_.end() ||
      !SameExceptHeartbeat(told_self->second, self_)) {
    rows.push_back(self_);
    told_self_.insert_or_assign(std::string(to), self_);
  }
  for (auto& [host, other] : others_) {
    if (host == to) {
      // A member hears of itself only if it has to refute something.
      if (other.row.state != member_state::kAlive) rows.push_back(other.row);
      continue;
    }
    auto told = other.told.find(to);
    if (told != other.told.end() &&
        SameExceptHeartbeat(told->second, other.row)) {
      continue;
    }
    rows.push_back(other.row);
    other.told.insert_or_assign(std::string(to), other.row);
  }
  if (!full) return rows;
  for (entry* other : InTurn(to, kInTurnFullMesh)) {
    rows.push_back(other->row);
    other->told.insert_or_assign(std::string(to), other->row);
  }
  return rows;
}

std::vector<member_table::entry*> member_table::InTurn(std::string_view to,
                                                       std::size_t most) {
  std::vector<entry*> chosen;
  auto visit = [&](auto first, auto last) {
    for (; first != last && chosen.size() < most; ++first) {
      entry& other = first->second;
      auto told = other.told.find(to);
      bool news = first->first != to && told != other.told.end() &&
                  told->second.heartbeat != other.row.heartbeat;
      if (news) chosen.push_back(&other);
    }
  };
  auto start = others_.upper_bound(next_row_);
  visit(start, others_.end());
  visit(others_.begin(), start);
  if (!chosen.empty()) next_row_ = chosen.back()->row.host;
  return chosen;
}

std::vector<heartbeat_beat> member_table::Beats(std::string_view to) {
  std::vector<heartbeat_beat> beats{{BeatTag(self_), self_.heartbeat}};
  bool partial = others_.size() >= timing_.full_mesh_max;
  for (entry* other :
       InTurn(to, partial ? kInTurnPartialMesh : kInTurnFullMesh)) {
    beats.push_back({BeatTag(other->row), other->row.heartbeat});
    other->told.insert_or_assign(std::string(to), other->row);
  }
  return beats;
}

std::vector<member_change> member_table::MergeBeats(
    std::span<const heartbeat_beat> beats, millis now) {
  std::map<std::uint64_t, std::uint64_t> newest;
  for (const auto& beat : beats) newest[beat.tag] = beat.heartbeat;
  std::vector<member_change> changes;
  for (auto& [host, other] : others_) {
    auto beat = newest.find(BeatTag(other.row));
    if (beat == newest.end() || other.row.state == member_state::kLeft) {
      continue;
    }
    member row = other.row;
    row.heartbeat = beat->second;
    MergeOther(row, now, changes);
  }
  return changes;
}

void member_table::ForgetTold(std::string_view to) {
  if (auto told = told_self_.find(to); told != told_self_.end()) {
    told_self_.erase(told);
  }
  for (auto& [host, other] : others_) {
    if (auto told = other.told.find(to); told != other.told.end()) {
      other.told.erase(told);
    }
  }
}

}  // namespace radishwing::membership

#include "src/membership/member_table.h"

#include <algorithm>
#include <utility>

namespace radishwing::membership {

std::string_view MemberStateName(member_state state) {
  switch (state) {
    case member_state::kAlive:
      return "alive";
    case member_state::kSuspect:
      return "suspect";
    case member_state::kFailed:
      return "failed";
    case member_state::kLeft:
      return "left";
  }
  return "failed";
}

member_table::member_table(member self, member_timing timing, millis now)
    : self_(std::move(self)), timing_(timing), last_tick_ms_(now) {}

std::vector<member_change> member_table::Tick(millis now) {
  // While this process was paused, it could hear nobody: that time is not
  // the others' silence.
  millis paused = now - last_tick_ms_ - timing_.heartbeat_ms;
  if (paused > timing_.heartbeat_ms) {
    for (auto& [host, other] : others_) other.news_ms += paused;
  }
  last_tick_ms_ = now;
  ++self_.heartbeat;
  std::vector<member_change> changes;
  std::erase_if(others_, [&](const auto& item) {
    return item.second.row.state >= member_state::kFailed &&
           now - item.second.news_ms > timing_.forget_ms;
  });
  for (auto& [host, other] : others_) {
    member_state before = other.row.state;
    millis silent = now - other.news_ms;
    if (before == member_state::kLeft) continue;
    if (silent >= timing_.failed_ms) {
      other.row.state = member_state::kFailed;
    } else if (silent >= timing_.suspect_ms) {
      other.row.state = member_state::kSuspect;
    }
    if (other.row.state != before) {
      changes.push_back({other.row, before, false});
    }
  }
  return changes;
}

std::vector<member_change> member_table::Merge(std::span<const member> rows,
                                               millis now) {
  std::vector<member_change> changes;
  for (const member& row : rows) {
    if (row.host == self_.host) {
      MergeSelf(row);
    } else if (!row.host.empty()) {
      MergeOther(row, now, changes);
    }
  }
  return changes;
}

void member_table::MergeSelf(const member& row) {
  // Refutes what others say of this control, also after a restart with a
  // clock that was set back.
  bool doubted = row.state != member_state::kAlive &&
                 row.incarnation >= self_.incarnation &&
                 self_.state != member_state::kLeft;
  if (doubted || row.incarnation > self_.incarnation) {
    self_.incarnation = std::max(self_.incarnation, row.incarnation) + 1;
  }
}

void member_table::MergeOther(const member& row, millis now,
                              std::vector<member_change>& changes) {
  auto found = others_.find(row.host);
  if (found == others_.end()) {
    // Old news of a member that was forgotten here must not bring it back.
    if (row.state >= member_state::kFailed) return;
    entry& added = others_[row.host];
    added.row = row;
    added.row.state = member_state::kAlive;
    added.news_ms = now;
    changes.push_back({added.row, member_state::kLeft, true});
    return;
  }
  entry& known = found->second;
  bool leaves = row.state == member_state::kLeft &&
                row.incarnation >= known.row.incarnation &&
                known.row.state != member_state::kLeft;
  bool left_stays = known.row.state == member_state::kLeft &&
                    row.incarnation == known.row.incarnation;
  if (left_stays || (!leaves && !Newer(row, known.row))) return;
  member_state before = known.row.state;
  known.row = row;
  known.news_ms = now;
  known.row.state = leaves ? member_state::kLeft : member_state::kAlive;
  if (known.row.state != before) {
    changes.push_back({known.row, before, false});
  }
}

void member_table::SetInForce(std::uint64_t settings_revision,
                              std::uint64_t host_epochs) {
  self_.settings_revision = settings_revision;
  self_.host_epochs = host_epochs;
}

void member_table::Leave() {
  self_.state = member_state::kLeft;
  ++self_.heartbeat;
}

std::vector<member> member_table::All() const {
  std::vector<member> rows{self_};
  for (const auto& [host, other] : others_) rows.push_back(other.row);
  return rows;
}

const member* member_table::Find(std::string_view host) const {
  if (host == self_.host) return &self_;
  auto found = others_.find(host);
  return found == others_.end() ? nullptr : &found->second.row;
}

millis member_table::SilentMs(std::string_view host, millis now) const {
  auto found = others_.find(host);
  return found == others_.end() ? 0 : now - found->second.news_ms;
}

}  // namespace radishwing::membership

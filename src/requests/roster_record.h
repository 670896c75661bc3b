#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/result.h"
#include "src/requests/roster_member.h"

namespace radishwing::requests {

/// A roster that was replaced but may still matter: claims granted under it may
/// not have reached the copies of the current roster yet, or are lost.
struct former_roster {
  std::uint64_t epoch = 0;
  std::vector<roster_member> members;
  /// True once every member of a later roster has acknowledged its hand-over.
  /// What no surviving copy held is lost from then on.
  bool settled = false;

  bool operator==(const former_roster&) const = default;
};

/// The store record `roster`. It changes by one member per epoch.
struct roster_record {
  std::uint64_t epoch = 0;
  std::vector<roster_member> members;
  /// Members that have not yet acknowledged the hand-over of this epoch.
  std::set<std::string, std::less<>> unsettled;
  std::vector<former_roster> former;
  std::string change_id;

  bool Lists(std::string_view id) const;

  bool operator==(const roster_record&) const = default;
};

/// JSON text of `record` for the store.
std::string FormatRosterRecord(const roster_record& record);

/// Reads the text of FormatRosterRecord. Fails with kInvalid.
result<roster_record> ParseRosterRecord(std::string_view text);

}  // namespace radishwing::requests

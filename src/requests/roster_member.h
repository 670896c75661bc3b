#pragma once

#include <string>
#include <string_view>

namespace radishwing::requests {

/// One control that holds request claims.
struct roster_member {
  std::string id;  ///< "<host>#<incarnation>".
  std::string data_centre;
  /// Only in a former roster: the member left before it was settled, so its
  /// claims may be lost.
  bool removed = false;

  bool operator==(const roster_member&) const = default;
};

/// The host part of a member's id.
inline std::string_view HostOf(std::string_view id) {
  return id.substr(0, id.find('#'));
}

}  // namespace radishwing::requests

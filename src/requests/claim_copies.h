#pragma once

#include <span>
#include <string_view>

#include "src/requests/roster_member.h"

namespace radishwing::requests {

/// The members that hold the two copies of one claim. Points into the roster it
/// was chosen from.
struct claim_copies {
  const roster_member* primary = nullptr;  ///< Null in an empty roster.
  const roster_member* second = nullptr;   ///< Null if there is one member.

  bool Include(std::string_view id) const {
    return (primary != nullptr && primary->id == id) ||
           (second != nullptr && second->id == id);
  }
};

/// Chooses the copies for `request_id` by rendezvous hashing (XXH3 of host name
/// and identifier): the primary has the highest score, the second the highest
/// one in another data centre, or of any other member if there is only one data
/// centre. After adding or removing one member, at least one of the old copies
/// is still a copy. The host name is hashed without its incarnation, so that a
/// restarted control gets its old part back.
claim_copies ChooseCopies(std::span<const roster_member> members,
                          std::string_view request_id);

}  // namespace radishwing::requests

#pragma once

#include "src/membership/member.h"

namespace radishwing::membership {

/// A member whose state changed, or that is new.
struct member_change {
  member now;
  member_state before = member_state::kLeft;
  bool is_new = false;
};

}  // namespace radishwing::membership

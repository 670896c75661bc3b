#pragma once

#include <cstdint>
#include <string>

#include "src/requests/claim.h"

namespace radishwing::requests {

/// What the primary does next with a claim.
struct claim_step {
  claim_answer answer;  ///< The final reply, if `replicate_to` is empty.
  std::string replicate_to;
  std::uint64_t roster_epoch = 0;  ///< To send with the replication.
};

/// A claim with its state, as handed over between members.
struct handed_claim {
  requests::claim claim;
  claim_answer answer;
};

}  // namespace radishwing::requests

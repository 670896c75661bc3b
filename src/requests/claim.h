#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace radishwing::requests {

/// State of a request identifier, as its claim holders know it.
enum class claim_state {
  kFresh,        ///< Recorded at both copies; the request may run.
  kRunning,      ///< Another request with this identifier runs.
  kFinished,     ///< It has ended; outcome and status are set.
  kConflict,     ///< Same identifier, other content.
  kUnavailable,  ///< A copy cannot be asked.
};

/// How a request ended, as told to its caller.
enum class outcome { kNone, kAnswered, kNotRun, kUnknown };

/// A non-idempotent request that asks to run under its identifier.
struct claim {
  std::string request_id;  ///< As ScopedId() makes it.
  std::string team;
  std::string digest;  ///< SHA-256 of method, target and body length.
  /// "<host>#<incarnation>/<n>": the entry that asks and the number of its
  /// claim. Unique per claim.
  std::string owner;
};

/// The identifier of a claim: two teams may use the same one.
inline std::string ScopedId(std::string_view team,
                            std::string_view request_id) {
  return std::string(team).append("/").append(request_id);
}

/// Reply to a claim. `outcome` and `status` are set when finished. A fresh one
/// has the outcome kNotRun if an earlier claim ended so.
struct claim_answer {
  claim_state state = claim_state::kUnavailable;
  requests::outcome outcome = outcome::kNone;
  std::uint16_t status = 0;
};

}  // namespace radishwing::requests

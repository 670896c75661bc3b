#pragma once

namespace radishwing::node {

/// How the leader used a listing, a runner's report of its running and ended
/// runs.
enum class listing_result {
  kNotReady,     ///< Ignored: the leader has not loaded all jobs yet.
  kAcksPending,  ///< Applied; some run ends await storage and acknowledgement.
  kAllAcknowledged,  ///< Applied; every run end is stored and acknowledged.
};

}  // namespace radishwing::node

#pragma once

namespace radishwing::node {

/// How the leader used a listing: a runner's report of its task runs, those in
/// progress and those that ended.
enum class listing_result {
  kNotReady,  ///< Listing ignored: the leader has not loaded all jobs yet.
  /// Listing applied; some run ends are not stored and acknowledged yet.
  kAcksPending,
  /// Listing applied; every run end is stored and acknowledged.
  kAllAcknowledged,
};

}  // namespace radishwing::node

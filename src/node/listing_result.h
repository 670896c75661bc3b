#pragma once

namespace radishwing::node {

/// What became of a runner's listing.
enum class listing_result {
  kNotReady,     ///< Left unused: the jobs are not loaded yet.
  kAcksPending,  ///< Used; run ends in it are not stored yet.
  kApplied,      ///< Used; no run end in it is pending.
};

}  // namespace radishwing::node

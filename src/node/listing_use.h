#pragma once

namespace radishwing::node {

/// What became of a runner's listing.
enum class listing_use {
  kNotReady,     ///< Left unused: the jobs are not loaded yet.
  kEndsPending,  ///< Used; ends in it wait to be kept.
  kTaken,        ///< Used, nothing waits.
};

}  // namespace radishwing::node

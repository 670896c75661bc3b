#pragma once

#include <cstdint>
#include <string>

#include "src/platform/kv_item.h"

namespace radishwing::platform {

/// One compare-and-swap.
struct kv_swap {
  std::string key;
  std::uint64_t expect = 0;  ///< Version to replace; 0: must not exist.
  /// A JSON object with a top-level member "change_id" that is unique to this
  /// change (see NewChangeId). At most 1 MB.
  std::string value;
  std::string lease;  ///< The key is deleted with this lease; empty: none.
};

/// What became of a compare-and-swap.
enum class swap_state {
  kDone,      ///< In effect; `version` is the new version.
  kConflict,  ///< Not done: the key has another version, see `current`.
  kNotDone,   ///< Not done: the store refused it or was not reached.
  kUnknown,   ///< May be in effect now or later; the record must be read.
};

/// Result of a compare-and-swap.
struct swap_outcome {
  swap_state state = swap_state::kNotDone;
  std::uint64_t version = 0;
  kv_item current;
  std::string message;  ///< For logs, unless done.
};

}  // namespace radishwing::platform

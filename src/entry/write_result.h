#pragma once

namespace radishwing::entry {

/// What became of a write.
enum class write_result {
  kDone,     ///< Everything is written; there is no callback.
  kPending,  ///< The rest is being written; a callback follows.
  kFailed,   ///< The connection is broken; there is no callback.
};

}  // namespace radishwing::entry

#pragma once

#include <memory>
#include <vector>

#include "src/entry/http_types.h"

namespace radishwing::entry {

using stream_buffer = std::unique_ptr<char[]>;

/// Buffers of kStreamBuffer bytes, lent to requests while they stream. Used on
/// the serve thread only.
class buffer_pool {
 public:
  stream_buffer Take() {
    if (free_.empty()) {
      return std::make_unique_for_overwrite<char[]>(kStreamBuffer);
    }
    stream_buffer buffer = std::move(free_.back());
    free_.pop_back();
    return buffer;
  }
  void Return(stream_buffer buffer) {
    if (buffer && free_.size() < kKept) free_.push_back(std::move(buffer));
  }

 private:
  static constexpr std::size_t kKept = 64;  // 4 MB at most stay allocated.
  std::vector<stream_buffer> free_;
};

}  // namespace radishwing::entry

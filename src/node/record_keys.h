#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace radishwing::node {

// Keys of radishwing's own records in the store. `docs/platform-design.md`
// lists the writer of each key and the precondition of the write.

/// Pools are assigned to shards. Only one shard exists at present.
inline constexpr int kShard = 0;

inline constexpr std::string_view kMemberPrefix = "rw/n/";
inline constexpr std::string_view kNodePrefix = "rw/n/node/";
inline constexpr std::string_view kJobPrefix = "rw/in/";
inline constexpr std::string_view kProgressPrefix = "rw/p/";
inline constexpr std::string_view kCancelSuffix = ".x";

inline std::string NodeKey(std::string_view node) {
  return std::string(kNodePrefix) + std::string(node);
}
inline std::string ShardKey() { return "rw/n/shard/" + std::to_string(kShard); }
inline std::string TermKey() { return "rw/term/" + std::to_string(kShard); }
inline std::string RunnerSetKey() { return "rw/r/" + std::to_string(kShard); }
/// Names of the hosts whose maintenance in this wave has begun.
inline std::string WaveKey(std::int64_t wave) {
  return "rw/w/" + std::to_string(wave);
}
inline std::string JobKey(std::string_view id) {
  return std::string(kJobPrefix) + std::string(id);
}
inline std::string CancelKey(std::string_view id) {
  return JobKey(id) + std::string(kCancelSuffix);
}
inline std::string ProgressKey(std::string_view id) {
  return std::string(kProgressPrefix) + std::string(id);
}

}  // namespace radishwing::node

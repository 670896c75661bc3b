#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace radishwing::node {

// Keys of radishwing's own records in the store. `docs/platform-design.md`
// lists the writer of each key and the precondition of each write.

/// Number of the only shard at present. A shard is a group of pools that one
/// leader schedules.
inline constexpr int kShard = 0;

/// Prefix of NodeKey() and ShardKey().
inline constexpr std::string_view kMemberPrefix = "rw/n/";
/// Prefix of NodeKey().
inline constexpr std::string_view kNodePrefix = "rw/n/node/";
/// Prefix of JobKey() and CancelKey().
inline constexpr std::string_view kJobPrefix = "rw/in/";
/// Prefix of ProgressKey().
inline constexpr std::string_view kProgressPrefix = "rw/p/";
/// Appended to the key of a job to form the key of its cancellation.
inline constexpr std::string_view kCancelSuffix = ".x";

/// Key of a node's registration, which is bound to the node's lease.
inline std::string NodeKey(std::string_view node) {
  return std::string(kNodePrefix) + std::string(node);
}
/// Key of the shard's leader, which is bound to the leader's lease. Its
/// revision is the leader's fencing token.
inline std::string ShardKey() { return "rw/n/shard/" + std::to_string(kShard); }
/// Key of the shard's term_record.
inline std::string TermKey() { return "rw/term/" + std::to_string(kShard); }
/// Key of the leader's recorded set of the shard's runners, which the next
/// leader reads.
inline std::string RunnerSetKey() { return "rw/r/" + std::to_string(kShard); }
/// Key of the orders to hosts that may still be carried out, as encoded by
/// EncodeHostOrders().
inline std::string HostOrdersKey() { return "rw/h/" + std::to_string(kShard); }
/// Key of the progress of wave number `wave`, as encoded by
/// EncodeWaveRecord().
inline std::string WaveKey(std::int64_t wave) {
  return "rw/w/" + std::to_string(wave);
}
/// Key of the accepted job `id`, as encoded by EncodeJobRecord().
inline std::string JobKey(std::string_view id) {
  return std::string(kJobPrefix) + std::string(id);
}
/// Key that exists once a caller has cancelled the job `id`.
inline std::string CancelKey(std::string_view id) {
  return JobKey(id) + std::string(kCancelSuffix);
}
/// Key of the leader's record of the progress of the job `id`.
inline std::string ProgressKey(std::string_view id) {
  return std::string(kProgressPrefix) + std::string(id);
}

}  // namespace radishwing::node

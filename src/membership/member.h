#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace radishwing::membership {

/// What a control thinks of another one.
enum class member_state {
  kAlive,
  kSuspect,  ///< No news for `suspect_ms`.
  kFailed,   ///< No news for `failed_ms`.
  kLeft,     ///< Said itself that it leaves.
};

/// Stable lower-case name, for logs and JSON.
std::string_view MemberStateName(member_state state);

/// One row of a digest.
struct member {
  std::string host;
  std::string data_centre;
  std::string address;            ///< "ip:port"
  std::uint64_t incarnation = 0;  ///< Higher after a restart or a refutation.
  std::uint64_t heartbeat = 0;    ///< Grows while the member works.
  member_state state = member_state::kAlive;
  std::uint64_t settings_revision = 0;  ///< In force there and at its entry.
  std::uint64_t host_epochs = 0;        ///< Sum of host epochs in force there.
};

/// True if `a` is later news than `b` of the same host.
inline bool Newer(const member& a, const member& b) {
  if (a.incarnation != b.incarnation) return a.incarnation > b.incarnation;
  return a.heartbeat > b.heartbeat;
}

}  // namespace radishwing::membership

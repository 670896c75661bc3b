#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/membership/heartbeat_beat.h"
#include "src/membership/member.h"
#include "src/rpc/entry_link.h"
#include "src/rpc/radishwing.capnp.h"

namespace radishwing::control {

/// A draining host as one control confirms it.
struct host_confirmation {
  std::string host;
  std::uint64_t epoch = 0;  ///< In force at the entry of the sender.
  std::uint32_t in_flight = 0;
};

/// What controls tell each other with each heartbeat.
struct peer_digest {
  std::string from;
  std::vector<membership::member> members;
  std::uint64_t settings_revision = 0;  ///< Newest known to the sender.
  std::vector<host_confirmation> confirmations;
  std::vector<rpc::team_usage> usage;
  std::vector<rpc::token_grant> spare_tokens;
  std::vector<membership::heartbeat_beat> beats;
};

peer_digest Read(rpc::Digest::Reader from);
void Write(const peer_digest& from, rpc::Digest::Builder to);

}  // namespace radishwing::control

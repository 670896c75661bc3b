#include "src/rpc/handshake.h"

#include "src/base/sha256.h"

namespace radishwing::rpc {

std::string JoinMac(std::string_view secret, join_role role,
                    const handshake_nonces& nonces, const hello& caller) {
  // Line breaks separate the fields, so that no two different sets of fields
  // give the same text.
  std::string text = "join\n";
  text += role == join_role::kPeer ? "peer" : "entry";
  for (const std::string& field :
       {nonces.server, nonces.client, caller.host, caller.data_centre,
        std::to_string(caller.incarnation), caller.address}) {
    text += '\n' + field;
  }
  return HmacSha256Hex(secret, text);
}

std::string AcceptMac(std::string_view secret, const handshake_nonces& nonces) {
  return HmacSha256Hex(secret,
                       "accept\n" + nonces.client + '\n' + nonces.server);
}

std::string MakeNonce() { return RandomHex(16); }

}  // namespace radishwing::rpc

#pragma once

#include <string>
#include <string_view>

#include "src/rpc/hello.h"

namespace radishwing::rpc {

/// What the caller wants to be. Part of the caller's proof, so that a proof
/// made as an entry is of no use to join as a control.
enum class join_role { kPeer, kEntry };

/// Nonces of one handshake, each of 16 random bytes in hexadecimal.
struct handshake_nonces {
  std::string server;
  std::string client;
};

/// The caller's proof that it knows the fleet secret.
std::string JoinMac(std::string_view secret, join_role role,
                    const handshake_nonces& nonces, const hello& caller);

/// The server's proof. Starts with another word than JoinMac, so that neither
/// side can return the other's proof as its own.
std::string AcceptMac(std::string_view secret, const handshake_nonces& nonces);

/// A new nonce.
std::string MakeNonce();

}  // namespace radishwing::rpc

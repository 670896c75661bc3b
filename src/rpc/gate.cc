#include "src/base/log.h"
#include "src/base/sha256.h"
#include "src/rpc/convert.h"
#include "src/rpc/gate_connection.h"
#include "src/rpc/handshake.h"

namespace radishwing::rpc {
namespace {

class gate final : public Gate::Server {
 public:
  gate(const gate_options& options, const gate_hooks& hooks,
       std::shared_ptr<gate_progress> progress)
      : options_(options), hooks_(hooks), progress_(std::move(progress)) {}

  kj::Promise<void> challenge(ChallengeContext context) override {
    nonce_ = MakeNonce();
    context.getResults().setServerNonce(ToText(nonce_));
    return kj::READY_NOW;
  }

  kj::Promise<void> joinPeer(JoinPeerContext context) override {
    auto params = context.getParams();
    hello caller = Read(params.getHello());
    handshake_nonces nonces = TakeNonces(params.getClientNonce());
    Check(join_role::kPeer, nonces, caller, ToString(params.getServerNonce()),
          ToString(params.getMac()));
    auto results = context.getResults();
    results.setMac(ToText(AcceptMac(options_.fleet_secret, nonces)));
    results.setPeer(hooks_.on_peer(caller, progress_->close));
    Write(options_.self, results.initHello());
    return kj::READY_NOW;
  }

  kj::Promise<void> joinEntry(JoinEntryContext context) override {
    auto params = context.getParams();
    hello caller = Read(params.getHello());
    handshake_nonces nonces = TakeNonces(params.getClientNonce());
    Check(join_role::kEntry, nonces, caller, ToString(params.getServerNonce()),
          ToString(params.getMac()));
    auto results = context.getResults();
    results.setMac(ToText(AcceptMac(options_.fleet_secret, nonces)));
    results.setSession(hooks_.on_entry(caller, progress_->close));
    return kj::READY_NOW;
  }

 private:
  // The nonce is forgotten, so that a proof cannot be sent twice.
  handshake_nonces TakeNonces(capnp::Text::Reader client_nonce) {
    handshake_nonces nonces{std::move(nonce_), ToString(client_nonce)};
    nonce_.clear();
    return nonces;
  }

  void Check(join_role role, const handshake_nonces& nonces,
             const hello& caller, const std::string& server_nonce,
             const std::string& mac) {
    bool valid = !nonces.server.empty() && server_nonce == nonces.server &&
                 EqualConstantTime(
                     mac, JoinMac(options_.fleet_secret, role, nonces, caller));
    if (!valid) {
      LogWarning("rpc", "caller refused, it did not prove the fleet secret");
      KJ_FAIL_REQUIRE("the fleet secret was not proved");
    }
    progress_->joined = true;
  }

  const gate_options& options_;
  const gate_hooks& hooks_;
  std::shared_ptr<gate_progress> progress_;
  std::string nonce_;
};

}  // namespace

capnp::ReaderOptions MessageLimits() {
  capnp::ReaderOptions limits;
  limits.traversalLimitInWords = kMessageWordsMax;
  return limits;
}

Gate::Client MakeGate(const gate_options& options, const gate_hooks& hooks,
                      std::shared_ptr<gate_progress> progress) {
  return kj::heap<gate>(options, hooks, std::move(progress));
}

}  // namespace radishwing::rpc

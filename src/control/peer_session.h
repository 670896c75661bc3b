#pragma once

#include <memory>

#include "src/control/peer_handlers.h"
#include "src/rpc/radishwing.capnp.h"

namespace radishwing::control {

/// Serves one authenticated control.
class peer_session final : public rpc::Peer::Server {
 public:
  explicit peer_session(std::shared_ptr<const peer_handlers> handlers)
      : handlers_(std::move(handlers)) {}

  kj::Promise<void> exchange(ExchangeContext context) override;
  kj::Promise<void> fetchSettings(FetchSettingsContext context) override;
  kj::Promise<void> offerSettings(OfferSettingsContext context) override;
  kj::Promise<void> lendTokens(LendTokensContext context) override;
  kj::Promise<void> tokenBalance(TokenBalanceContext context) override;
  kj::Promise<void> claim(ClaimContext context) override;
  kj::Promise<void> replicateClaim(ReplicateClaimContext context) override;
  kj::Promise<void> finishClaim(FinishClaimContext context) override;
  kj::Promise<void> cancelRequest(CancelRequestContext context) override;
  kj::Promise<void> handOver(HandOverContext context) override;

 private:
  std::shared_ptr<const peer_handlers> handlers_;
};

}  // namespace radishwing::control

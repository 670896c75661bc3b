#include "src/control/peer_session.h"

#include "src/rpc/convert.h"

namespace radishwing::control {

using rpc::ToString;

kj::Promise<void> peer_session::exchange(ExchangeContext context) {
  if (!handlers_->exchange) return Server::exchange(context);
  peer_digest answer =
      handlers_->exchange(Read(context.getParams().getDigest()));
  Write(answer, context.getResults().initDigest());
  return kj::READY_NOW;
}

kj::Promise<void> peer_session::fetchSettings(FetchSettingsContext context) {
  if (!handlers_->newest_settings) return Server::fetchSettings(context);
  rpc::settings_text newest = handlers_->newest_settings();
  if (newest.revision > context.getParams().getAfterRevision()) {
    rpc::Write(newest, context.getResults().initSettings());
  }
  return kj::READY_NOW;
}

kj::Promise<void> peer_session::offerSettings(OfferSettingsContext context) {
  if (!handlers_->offer_settings) return Server::offerSettings(context);
  context.getResults().setRevision(
      handlers_->offer_settings(rpc::Read(context.getParams().getSettings())));
  return kj::READY_NOW;
}

kj::Promise<void> peer_session::lendTokens(LendTokensContext context) {
  if (!handlers_->lend) return Server::lendTokens(context);
  auto params = context.getParams();
  rpc::Write(handlers_->lend(ToString(params.getTeam()), params.getEpoch(),
                             params.getWant(), ToString(params.getTaker())),
             context.getResults().initLent());
  return kj::READY_NOW;
}

kj::Promise<void> peer_session::tokenBalance(TokenBalanceContext context) {
  if (!handlers_->balance) return Server::tokenBalance(context);
  auto params = context.getParams();
  token_balance balance =
      handlers_->balance(ToString(params.getTeam()), params.getEpoch());
  auto results = context.getResults();
  results.setFree(balance.free);
  results.setInUse(balance.in_use);
  results.setSettled(balance.settled);
  return kj::READY_NOW;
}

kj::Promise<void> peer_session::claim(ClaimContext context) {
  if (!handlers_->claim) return Server::claim(context);
  auto params = context.getParams();
  return handlers_->claim(rpc::Read(params.getClaim()), params.getRosterEpoch())
      .then([context](requests::claim_answer answer) mutable {
        rpc::Write(answer, context.getResults().initAnswer());
      });
}

kj::Promise<void> peer_session::replicateClaim(ReplicateClaimContext context) {
  if (!handlers_->replicate) return Server::replicateClaim(context);
  auto params = context.getParams();
  rpc::Write(handlers_->replicate(rpc::Read(params.getClaim()),
                                  params.getRosterEpoch()),
             context.getResults().initAnswer());
  return kj::READY_NOW;
}

kj::Promise<void> peer_session::finishClaim(FinishClaimContext context) {
  if (!handlers_->finish) return Server::finishClaim(context);
  auto params = context.getParams();
  handlers_->finish(ToString(params.getRequestId()),
                    ToString(params.getOwner()), rpc::Read(params.getOutcome()),
                    params.getStatus());
  return kj::READY_NOW;
}

kj::Promise<void> peer_session::cancelRequest(CancelRequestContext context) {
  if (!handlers_->cancel) return Server::cancelRequest(context);
  auto params = context.getParams();
  return handlers_
      ->cancel(ToString(params.getRequestId()), ToString(params.getTeam()))
      .then([context](bool found) mutable {
        context.getResults().setFound(found);
      });
}

kj::Promise<void> peer_session::handOver(HandOverContext context) {
  if (!handlers_->hand_over) return Server::handOver(context);
  auto params = context.getParams();
  context.getResults().setAccepted(handlers_->hand_over(
      params.getRosterEpoch(),
      rpc::ReadList<requests::claim>(params.getClaims()),
      rpc::ReadList<requests::claim_answer>(params.getAnswers())));
  return kj::READY_NOW;
}

}  // namespace radishwing::control

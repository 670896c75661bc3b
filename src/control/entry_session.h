#pragma once

#include <memory>

#include "src/control/entry_registry.h"
#include "src/rpc/radishwing.capnp.h"

namespace radishwing::control {

/// One session of an entry, as the entry calls it. Ends with its connection.
class entry_session final : public rpc::EntrySession::Server {
 public:
  entry_session(entry_registry& registry, std::uint64_t id)
      : registry_(registry), alive_(registry.alive_), id_(id) {}
  ~entry_session() noexcept(false);

  kj::Promise<void> report(ReportContext context) override;
  kj::Promise<void> nextSnapshot(NextSnapshotContext context) override;
  kj::Promise<void> acquireTokens(AcquireTokensContext context) override;
  kj::Promise<void> returnTokens(ReturnTokensContext context) override;
  kj::Promise<void> claim(ClaimContext context) override;
  kj::Promise<void> finish(FinishContext context) override;
  kj::Promise<void> job(JobContext context) override;
  kj::Promise<void> cancelRequest(CancelRequestContext context) override;
  kj::Promise<void> attach(AttachContext context) override;

 private:
  // The state of this session; throws if it was closed or has not stated its
  // tokens yet.
  entry_state& Require();
  kj::Promise<void> AnswerSnapshot(NextSnapshotContext context);

  entry_registry& registry_;
  // The RPC library may destroy this object after the control's state, with a
  // call that was still running.
  std::weak_ptr<bool> alive_;
  std::uint64_t id_;
};

}  // namespace radishwing::control

#pragma once

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <string>

#include "src/rpc/client_connection.h"
#include "src/rpc/completion.h"
#include "src/rpc/entry_link.h"
#include "src/rpc/held_tokens.h"

namespace radishwing::rpc {

/// The part of entry_link that lives on the link thread: keeps one session
/// with the control process open and runs its loops and calls.
class entry_session_client : private kj::TaskSet::ErrorHandler {
 public:
  entry_session_client(kj::AsyncIoContext& io, entry_link_options options,
                       entry_link_hooks hooks);
  ~entry_session_client();

  void AcquireTokens(const std::string& team, std::uint32_t want,
                     completion<token_grant> done);
  void ReturnTokens(const token_grant& tokens);
  void Claim(const requests::claim& claim,
             completion<requests::claim_answer> done);
  void Finish(const std::string& request_id, const std::string& owner,
              requests::outcome outcome, std::uint16_t status);
  void Job(const job_request& request, completion<job_answer> done);
  void CancelRequest(const std::string& request_id, const std::string& team,
                     completion<bool> done);
  void ReportNow();

 private:
  void taskFailed(kj::Exception&& exception) override;
  void Cycle();
  kj::Promise<void> RunSession(kj::Own<joined_entry> joined);
  void EndSession(const kj::Exception& reason);
  kj::Promise<void> SendReport();
  kj::Promise<void> ReportLoop();
  kj::Promise<void> SnapshotLoop();
  void ApplySnapshot(EntrySession::NextSnapshotResults::Reader reply);
  void DeliverWhileCutOff();
  void BreakSession(const std::string& reason);
  template <typename T, typename Request, typename Reader>
  void Call(Request request, completion<T> done, Reader read);

  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  entry_link_options options_;
  entry_link_hooks hooks_;
  clock clock_ = clock::Monotonic();
  kj::Own<joined_entry> session_;
  kj::Own<kj::PromiseFulfiller<void>> session_end_;
  kj::Own<kj::PromiseFulfiller<void>> report_now_;
  bool report_wanted_ = false;
  held_tokens tokens_;
  snapshot current_;
  std::uint64_t asked_table_ = 0;
  millis last_contact_ = 0;
  millis cut_off_at_contact_ = 0;
  millis last_cut_off_delivery_ = 0;
  bool logged_failure_ = false;
  kj::TaskSet tasks_;  // Last, so that it is destroyed first.
};

}  // namespace radishwing::rpc

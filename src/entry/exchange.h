#pragma once

#include <boost/system/error_code.hpp>
#include <memory>
#include <optional>
#include <string>

#include "src/entry/buffer_pool.h"
#include "src/entry/rejection.h"
#include "src/entry/request_head.h"
#include "src/entry/request_state.h"
#include "src/entry/runner_attempt.h"
#include "src/routing/attempt_result.h"
#include "src/rpc/entry_link.h"

namespace radishwing::entry {

class caller_connection;
class entry_core;

/// One request from its header to the end of its response: admission, claim,
/// queue, attempts, response. Belongs to its caller's connection and is used
/// again for the next request. Used on the serve thread only.
class exchange {
 public:
  /// A body up to this size is read before the request is queued, so that a
  /// slow sender holds no slot, and can be sent again.
  static constexpr std::size_t kReplayMax = kStreamBuffer;
  static constexpr std::size_t kJobBodyMax = 256 * 1024;

  exchange(entry_core& core, caller_connection& caller)
      : core_(core), caller_(caller) {}
  ~exchange();

  bool Active() const { return state_.phase != request_phase::kNone; }
  const request_state& State() const { return state_; }
  void SetTicket(fairness::ticket ticket) { state_.ticket = ticket; }
  std::weak_ptr<caller_connection> Caller() const;

  // Events of the caller's connection.
  void Begin();
  void OnBodyPart(std::size_t size);
  void OnBodyError();
  void OnSlowSender();
  void OnCallerWritten(bool good);
  void OnCallerGone();

  // Events of the runner's connection.
  void OnConnected(const boost::system::error_code& error);
  void OnRunnerWritten(const boost::system::error_code& error);
  void OnRunnerBytes(const boost::system::error_code& error);

  // Events of the core.
  void OnTick(millis now);
  void StartAttempt(routing::runner_state& runner);
  void RejectQueued(rejection r);
  void Cancel();
  /// Moves a queued request to the queue of its service's present pool.
  void ChangePool();
  /// Returns false if the request does not wait for this answer any more.
  bool OnClaim(std::uint64_t sequence,
               const result<requests::claim_answer>& answer);
  void OnJob(std::uint64_t sequence, const result<rpc::job_answer>& answer);
  void OnCancelled(std::uint64_t sequence, const result<bool>& answer);

  std::size_t registry_index = 0;  ///< Belongs to entry_core.

 private:
  enum class broken { kRefused, kClosed, kTimeout };

  // exchange_admission.cc
  std::optional<rejection> Admit(const request_head& head);
  std::optional<rejection> AdmitTeam(const request_head& head);
  void StartBody(std::size_t limit);

  // exchange_own.cc
  void BeginOwn(const request_head& head);
  void BeginJob(const request_head& head, std::string_view rest);
  std::optional<rejection> ReadJob(const request_head& head,
                                   std::string_view rest);
  std::optional<rejection> ReadSubmission(const request_head& head,
                                          std::string_view service);
  void BeginCancel(std::string_view id);
  void SubmitJob();
  std::optional<rejection> ReadJobNeeds();

  // exchange_claim.cc
  void SendClaim();
  void RejectUnclaimed();

  // exchange.cc
  void BodyReady();
  void Enqueue();
  void Reject(rejection r);
  void Complete(requests::outcome outcome, std::uint16_t status,
                request_verdict verdict);
  bool MayKeep() const;
  void OnDeadline();

  // exchange_attempt.cc
  void Send();
  void AfterSend();
  void UploadPart(std::size_t size);
  void EndAttempt(routing::attempt_result how, next_step next,
                  connection_use use);
  void Broken(broken how);
  bool MayRetry() const;
  void RejectBroken(broken how);
  millis SilentAfter() const;

  // exchange_response.cc
  void ParseResponse();
  bool OnResponseHead();
  void RunnerRejected();
  bool FillPart(std::size_t& size);
  void Pump();
  bool WritePart(std::size_t size, bool done);
  void RunnerDone();
  void FinishResponse();
  void Truncate(routing::attempt_result how, connection_use use);

  entry_core& core_;
  caller_connection& caller_;
  request_state state_;
  runner_attempt attempt_;
  rpc::job_request job_;
  std::string body_;          ///< Replayable start of the body.
  bool upload_done_ = false;  ///< The runner has the whole body.
  bool uploading_ = false;    ///< Past the replayable start.
  std::uint64_t body_bytes_ = 0;
  std::uint64_t response_bytes_ = 0;
  stream_buffer up_;
  std::string up_head_;
  stream_buffer down_;
  std::string out_;
  bool head_sent_ = false;
  bool chunked_ = false;  ///< Framing towards the caller.
  bool keep_ = false;
  bool caller_writing_ = false;
  bool runner_done_ = false;
  std::uint16_t status_ = 0;
};

}  // namespace radishwing::entry

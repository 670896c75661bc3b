#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/entry/buffer_pool.h"
#include "src/entry/caller_connection.h"
#include "src/entry/connection_pool.h"
#include "src/entry/directory.h"
#include "src/entry/entry_options.h"
#include "src/entry/exchange.h"
#include "src/entry/link_port.h"
#include "src/entry/report_board.h"
#include "src/entry/runner_attempt.h"
#include "src/entry/serve_inbox.h"
#include "src/entry/single_writer_counter.h"
#include "src/rpc/entry_link.h"

namespace radishwing::entry {

/// Everything that the serve thread owns: callers, requests, queues, tokens
/// and connections to runners. Every method runs on the serve thread unless it
/// says otherwise.
class entry_core {
 public:
  entry_core(entry_options options, link_port port);
  ~entry_core();

  // Lifecycle. Listen and Run are called by the owner's threads in turn.
  result<boost::asio::ip::tcp::endpoint> Listen();
  void StartTicks();
  void Stop(std::function<void()> stopped);
  void ApplySnapshot(rpc::snapshot snapshot);
  void SetConnected(bool connected);
  /// Callable from any thread.
  void NoteContact(millis sent_at) { contact_at_ = sent_at; }
  boost::asio::io_context& Context() { return context_; }
  serve_inbox& Inbox() { return inbox_; }
  report_board& Board() { return board_; }
  bool HasSnapshot() const { return has_snapshot_; }

  // For the connections and exchanges.
  millis Now() const { return options_.time.Now(); }
  const entry_options& Options() const { return options_; }
  buffer_pool& Buffers() { return buffers_; }
  /// Names this entry and one claim of it.
  std::string NextClaimOwner();
  std::uint64_t NextSequence() { return ++sequence_; }
  std::string NextRequestId();
  std::string_view NextRun();
  void RemoveCaller(caller_connection& caller);
  void Activate(exchange& e);
  void Deactivate(exchange& e);
  void IndexId(exchange& e);
  void CountRefusedHead() { ++refused_heads_; }

  // Admission.
  service_state* FindService(std::string_view name) {
    return directory_.FindService(name);
  }
  std::optional<key_owner> FindKey(std::string_view key) const {
    return directory_.FindKey(key);
  }
  team_state& Team(std::uint32_t index) { return directory_.Team(index); }
  bool Admits(const service_state& service, const team_state& team) const;
  bool CutOff(const team_state& team) const;
  /// Why a request that was admitted may not start any more.
  std::optional<rejection> Revoked(const request_state& state) const;
  /// No new work is accepted.
  bool Stopping() const { return stop_ >= stop_phase::kDraining; }
  /// Responses ask the callers to reconnect elsewhere.
  bool Closing() const { return stop_ != stop_phase::kNone; }

  // Queue and attempts: entry_core_dispatch.cc.
  bool IsFull(const service_state& service) const;
  void Push(exchange& e);
  void CancelQueued(exchange& e);
  void ChargeRunning(exchange& e, millis used_ms);
  bool Started(exchange& e, routing::runner_state& runner);
  void EndAttempt(exchange& e, runner_attempt& attempt,
                  routing::attempt_result how, next_step next,
                  connection_use use);
  void Dispatch(service_state& service);
  void DispatchAll();
  std::shared_ptr<connection_pool> Connections(
      const routing::runner_state& runner);
  std::optional<boost::asio::ip::tcp::endpoint> EndpointOf(
      const routing::runner_state& runner);
  void CloseIdle(const routing::runner_state& runner);

  // Link: entry_core_link.cc.
  void SendClaim(requests::claim claim, std::weak_ptr<caller_connection> caller,
                 std::uint64_t sequence);
  void FinishClaim(const std::string& scoped_id, const std::string& owner,
                   requests::outcome how, std::uint16_t status);
  void SendJob(rpc::job_request job, std::weak_ptr<caller_connection> caller,
               std::uint64_t sequence);
  void SendCancel(std::string_view id, std::string_view team,
                  std::weak_ptr<caller_connection> caller,
                  std::uint64_t sequence);
  /// Cancels requests of this entry; false if there is none.
  bool CancelLocal(std::string_view id, std::uint32_t team);
  void CancelForPeer(std::string_view id, std::string_view team);

  // Counters: entry_core_report.cc.
  void CountAttempt() { attempts_.Add(1); }
  /// Callable from any thread.
  millis LastTick() const { return static_cast<millis>(last_tick_.Get()); }
  std::uint64_t Attempts() const { return attempts_.Get(); }
  void CountRetry(const request_state& state);
  /// The retry budget is used up.
  void CountNoRetry(const request_state& state);
  void CountBytes(const request_state& state, std::uint64_t request,
                  std::uint64_t response);
  void CountVerdict(const request_state& state, request_verdict verdict);

 private:
  enum class stop_phase { kNone, kDelay, kDraining, kDone };

  /// Connections to one runner, with its address parsed.
  struct runner_link {
    std::shared_ptr<connection_pool> pool;
    std::optional<boost::asio::ip::tcp::endpoint> endpoint;
  };

  /// A request whose end is unknown; its token counts as in use.
  struct lingering_run {
    std::shared_ptr<runner_connection> connection;
    team_state* team = nullptr;
    std::string host;
    millis until = 0;
  };

  void Accept();
  void RefuseConnection(boost::asio::ip::tcp::socket socket);
  void Tick();
  void TickSecond(millis now);
  void TickStop(millis now);
  void Linger(exchange& e, runner_attempt& attempt);
  void EndLinger(std::list<lingering_run>::iterator run);
  void TickLinger(millis now);
  bool StartNext(service_state& service);
  void WantTokens(team_state& team, std::weak_ptr<caller_connection> caller,
                  std::uint64_t sequence);
  void OnTokens(std::uint32_t team, const result<rpc::token_grant>& answer,
                const std::weak_ptr<caller_connection>& caller,
                std::uint64_t sequence);
  void ReturnIdleTokens();
  void CountFullRing();
  void RecheckQueued();
  runner_link& LinkOf(const routing::runner_state& runner);
  service_metrics& MetricsOf(const request_state& state);
  void Publish();
  void ReportInFlight(rpc::entry_report& report);
  void CountSlotTime(const std::string& pool, const team_state& team,
                     std::uint64_t slot_ms);
  void ShowGauges();
  void ShowRunners();
  millis NextTick();
  millis CutOffMs() const;

  entry_options options_;
  link_port port_;
  routing::runner_table runners_;
  directory directory_;
  buffer_pool buffers_;
  report_board board_;
  std::string owner_;
  std::string id_prefix_;
  std::string run_;
  std::uint64_t sequence_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t claims_ = 0;
  std::uint64_t refused_heads_ = 0;
  single_writer_counter attempts_;
  single_writer_counter last_tick_;

  std::vector<exchange*> active_;
  std::unordered_multimap<std::string, exchange*> by_id_;
  std::vector<std::unique_ptr<runner_link>> runner_links_;
  std::list<lingering_run> lingering_;

  bool has_snapshot_ = false;
  std::uint64_t table_version_ = 0;
  millis cut_off_ms_ = 0;
  millis snapshot_at_ = 0;
  bool connected_ = false;
  bool new_session_ = false;
  millis disconnected_at_ = 0;
  std::atomic<millis> contact_at_{-1};  ///< Negative: none yet.

  stop_phase stop_ = stop_phase::kNone;
  millis stop_at_ = 0;
  std::function<void()> stopped_;
  millis next_half_second_ = 0;
  millis next_second_ = 0;
  millis next_publish_ = 0;

  std::vector<service_metrics*> metrics_;  ///< Owned by the services.

  /// Declared late, so that they are destroyed first: pending handlers own
  /// connections, which use the members above.
  std::vector<std::shared_ptr<caller_connection>> callers_;
  /// Closed connections, kept until their callbacks have returned.
  std::vector<std::shared_ptr<caller_connection>> closed_;
  boost::asio::io_context context_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  bool accepting_ = false;
  serve_inbox inbox_;
};

}  // namespace radishwing::entry

#pragma once

#include <kj/async-io.h>

#include <memory>
#include <string>

#include "src/control/claim_service.h"
#include "src/control/control_options.h"
#include "src/control/entry_registry.h"
#include "src/control/explain_service.h"
#include "src/control/fleet_poller.h"
#include "src/control/fleet_service.h"
#include "src/control/host_board.h"
#include "src/control/host_duty.h"
#include "src/control/job_link.h"
#include "src/control/job_operators.h"
#include "src/control/operator_service.h"
#include "src/control/peer_handlers.h"
#include "src/control/peer_mesh.h"
#include "src/control/runner_table.h"
#include "src/control/settings_keeper.h"
#include "src/control/settings_relay.h"
#include "src/control/store_port.h"
#include "src/control/token_recovery_duty.h"
#include "src/control/token_service.h"
#include "src/control/wave_board.h"
#include "src/rpc/gate_server.h"

namespace radishwing::control {

/// All state of a control process and the duties that change it. Lives on the
/// decide thread.
class control_core : private kj::TaskSet::ErrorHandler {
 public:
  control_core(kj::AsyncIoContext& io, control_options options,
               platform_seam platform, store_port::poster post);

  /// Listens for entries and other controls and starts all duties. Resolves to
  /// the bound address.
  kj::Promise<std::string> Start();

  /// Stops all duties in an order in which nothing is given up that another
  /// duty still needs, then runs `completion`.
  void Stop(std::function<void()> completion);

  /// True while the control accepts work: it listens, knows settings, and does
  /// not stop.
  bool Ready() const { return !stopping_ && settings_.Tree() != nullptr; }

  /// Fails readiness before the stop begins.
  void Close();

  /// How long this data centre cannot confirm its settings, in ms; 0 while it
  /// can: the store or another data centre answers.
  millis CutOffMs() const;

  settings_keeper& Settings() { return settings_; }
  runner_table& Table() { return table_; }
  entry_registry& Entries() { return entries_; }
  peer_mesh& Mesh() { return *mesh_; }
  settings_relay& Relay() { return *relay_; }
  claim_service& Claims() { return *claims_; }
  operator_service& Operators() { return *operators_; }
  fleet_service& Fleet() { return *fleet_; }
  explain_service& Explanations() { return *explain_; }
  wave_board& Waves() { return *waves_; }
  job_operators& JobOperators() { return *job_operators_; }
  job_link& Jobs() { return *jobs_; }
  host_board& Hosts() { return *board_; }
  host_duty& HostDuty() { return *host_duty_; }
  token_service& Tokens() { return *tokens_of_teams_; }

 private:
  void taskFailed(kj::Exception&& exception) override;
  void StartDuties(const std::string& bound);
  void WirePeers();
  void WireTokens();
  void WireClaims();
  void StartHosts();
  void Tick();
  kj::Promise<void> StopDuties();
  void FillDigest(peer_digest& digest);

  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  control_options options_;
  clock clock_ = clock::Monotonic();
  settings_keeper settings_;
  runner_table table_;
  entry_registry entries_;
  store_port store_;
  std::shared_ptr<peer_handlers> peer_handlers_;
  std::unique_ptr<peer_mesh> mesh_;
  std::unique_ptr<settings_relay> relay_;
  std::unique_ptr<fleet_poller> poller_;
  std::unique_ptr<host_board> board_;
  std::unique_ptr<host_duty> host_duty_;
  std::unique_ptr<fleet_service> fleet_;
  std::unique_ptr<wave_board> waves_;
  std::unique_ptr<explain_service> explain_;
  std::unique_ptr<job_link> jobs_;
  std::unique_ptr<job_operators> job_operators_;
  std::unique_ptr<operator_service> operators_;
  std::unique_ptr<token_service> tokens_of_teams_;
  std::unique_ptr<token_recovery_duty> recovery_;
  std::unique_ptr<claim_service> claims_;
  bool stopping_ = false;
  rpc::gate_server gate_;
  kj::TaskSet tasks_;  // Last, so that it is destroyed first.
};

}  // namespace radishwing::control

#pragma once

#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/control/duty_lease.h"
#include "src/control/token_service.h"
#include "src/quota/token_recovery.h"

namespace radishwing::control {

/// Carries the limits of the settings into the token records and recovers lost
/// tokens by new epochs. One lease covers all teams: a lease for each of 250
/// teams would need more renewals than the store serves. Used on the decide
/// thread.
class token_recovery_duty : private kj::TaskSet::ErrorHandler {
 public:
  token_recovery_duty(kj::Timer& timer, clock now,
                      const control_options& options, store_port& store,
                      peer_mesh& mesh, settings_keeper& keeper,
                      token_service& tokens);

  void Start();

  /// Call with each heartbeat.
  void Tick();

  kj::Promise<void> Stop();

 private:
  struct attempt;
  using attempt_ptr = std::shared_ptr<attempt>;

  void taskFailed(kj::Exception&& exception) override;
  void WatchHolders();
  bool Wanted(const std::string& team, const team_state& state) const;
  void CountGone(attempt& run, const std::string& holder);
  void SetLimit(const std::string& team, std::uint32_t limit);
  kj::Promise<void> Recover(std::string team);
  kj::Promise<void> ReachHolders(attempt_ptr run);
  kj::Promise<void> AskHolders(attempt_ptr run);
  kj::Promise<void> AskHolder(attempt_ptr run, std::string holder);
  kj::Promise<void> Write(attempt_ptr run);

  kj::Timer& timer_;
  clock clock_;
  const control_options& options_;
  store_port& store_;
  peer_mesh& mesh_;
  settings_keeper& keeper_;
  token_service& tokens_;
  duty_lease lease_;
  bool busy_ = false;  ///< One change of a record at a time.
  std::map<std::string, millis> gone_since_;    ///< By holder.
  std::map<std::string, millis> listed_since_;  ///< By holder.
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace radishwing::control

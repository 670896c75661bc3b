#pragma once

#include <kj/async-io.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/control/control_options.h"
#include "src/control/duty_lease.h"
#include "src/control/entry_registry.h"
#include "src/control/peer_mesh.h"
#include "src/control/record_swap.h"
#include "src/control/record_watch.h"
#include "src/control/settings_keeper.h"
#include "src/control/store_port.h"
#include "src/requests/claim_table.h"

namespace radishwing::control {

/// Request claims: carries the messages between the two copies that
/// requests::claim_table decides on, keeps this control in the roster and
/// forwards cancellations. Used on the decide thread.
class claim_service : private kj::TaskSet::ErrorHandler {
 public:
  claim_service(kj::Timer& timer, clock now, const control_options& options,
                store_port& store, peer_mesh& mesh, settings_keeper& keeper,
                entry_registry& entries);

  void Start();

  // --- From the entry ---

  /// Claims at the primary, wherever it is. Never rejects; answers within half
  /// of the entry's call deadline.
  kj::Promise<requests::claim_answer> Claim(const requests::claim& claim);
  kj::Promise<void> Finish(const std::string& request_id,
                           const std::string& owner, requests::outcome outcome,
                           std::uint16_t status);
  /// Cancels a request at the entry that runs it. True if its claim names an
  /// entry, and that entry was told. Without a claim all entries are told, and
  /// the answer is false.
  kj::Promise<bool> Cancel(const std::string& request_id,
                           const std::string& team);

  // --- From peers ---

  kj::Promise<requests::claim_answer> ClaimAsPrimary(
      const requests::claim& claim, std::uint64_t roster_epoch);
  requests::claim_answer Replicate(const requests::claim& claim,
                                   std::uint64_t roster_epoch);
  void FinishHere(const std::string& request_id, const std::string& owner,
                  requests::outcome outcome, std::uint16_t status);
  /// Tells the entry that the claim names; without one the entry here.
  kj::Promise<bool> CancelHere(const std::string& request_id,
                               const std::string& team);
  bool AcceptHandOver(std::uint64_t roster_epoch,
                      const std::vector<requests::claim>& claims,
                      const std::vector<requests::claim_answer>& answers);

  /// Call with each heartbeat.
  void Tick();

  /// Leaves the roster and hands the claims over.
  kj::Promise<void> Stop();

  const record_watch& RosterWatch() const { return roster_watch_; }

  const requests::claim_table* Table() const {
    return table_ ? &*table_ : nullptr;
  }

 private:
  using roster_change = std::function<result<requests::roster_record>(
      const requests::roster_record&, const std::string& change_id)>;

  void taskFailed(kj::Exception&& exception) override;
  void MakeTable();
  void ObserveRoster(const stored_value& value);
  kj::Promise<bool> ChangeRoster(roster_change change, std::string what);
  void KeepRoster();
  std::optional<roster_change> NextChange(std::string& what);
  void HandOver();
  kj::Promise<void> HandOverTo(std::string target);
  kj::Promise<void> SendHandOver(
      std::string target, std::uint64_t epoch,
      std::shared_ptr<std::vector<requests::handed_claim>> claims,
      std::size_t from);
  /// A connection to exactly the process `member`.
  kj::Promise<rpc::Peer::Client> ReachMember(const std::string& member);
  millis HopMs() const;

  kj::Timer& timer_;
  clock clock_;
  const control_options& options_;
  store_port& store_;
  peer_mesh& mesh_;
  settings_keeper& keeper_;
  entry_registry& entries_;
  std::string self_;
  duty_lease lease_;
  std::optional<requests::claim_table> table_;
  std::optional<stored_value> roster_;  // As read last.
  record_watch roster_watch_;
  bool changing_ = false;
  bool stopping_ = false;
  std::set<std::string> handing_over_;
  /// Owners of the claims that run and of which this control is the primary.
  std::unordered_map<std::string, std::string> owners_;
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace radishwing::control

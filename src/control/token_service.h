#pragma once

#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/control/control_options.h"
#include "src/control/peer_handlers.h"
#include "src/control/peer_mesh.h"
#include "src/control/record_swap.h"
#include "src/control/settings_keeper.h"
#include "src/control/store_port.h"
#include "src/control/team_state.h"

namespace radishwing::control {

/// The tokens of all teams at this control: lends them to its entry, fetches
/// more from the store record or from peers, and gives back what a lowered
/// limit asks for. Used on the decide thread. The accounts decide; this class
/// only carries their messages.
class token_service : private kj::TaskSet::ErrorHandler {
 public:
  token_service(kj::Timer& timer, clock now, const control_options& options,
                store_port& store, peer_mesh& mesh, settings_keeper& keeper);

  void Start();

  // --- Entry ---

  void OnOpened(const std::string& owner,
                const std::vector<rpc::token_grant>& held);
  void OnBroken(const std::string& owner);
  kj::Promise<rpc::token_grant> Acquire(const std::string& owner,
                                        const std::string& team,
                                        std::uint32_t want);
  void GiveBack(const std::string& owner, const rpc::token_grant& tokens);

  // --- Peers ---

  rpc::token_grant Lend(const std::string& team, std::uint64_t epoch,
                        std::uint32_t want, const std::string& taker);
  token_balance Balance(const std::string& team, std::uint64_t epoch);
  void Fill(peer_digest& digest);
  void OnDigest(const peer_digest& digest);

  /// Call with each heartbeat.
  void Tick();

  /// Gives the free tokens back and leaves the records in which nothing is in
  /// use. The entry is not served any more.
  kj::Promise<void> Stop();

  /// Longest run of any request of `team`, in ms.
  millis LongestRunMs(const std::string& team) const;

  /// Longest time for which tokens may be in use at a host that is silent: how
  /// long its entry works without a session (the team's cut-off grace), and the
  /// longest run.
  millis InUseMs(const std::string& team) const;

  /// The state of a team; made if the settings name the team, else null.
  team_state* Find(const std::string& team);
  std::map<std::string, std::unique_ptr<team_state>>& Teams() { return teams_; }

  const std::string& Holder() const { return holder_; }

  /// Takes over a version of a record, from whatever call it came.
  void Observe(const std::string& team, const stored_value& value);

  static std::string KeyOf(const std::string& team) { return "tokens/" + team; }

 private:
  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<void> RecordsLoop();
  kj::Promise<void> RecordsWatch();
  void FetchTokens(const std::string& team, std::uint32_t want);
  kj::Promise<void> FetchOnce(const std::string& team, std::uint32_t want);
  kj::Promise<void> Take(const std::string& team, std::uint32_t want);
  result<quota::token_record> JoinOrTake(
      const std::string& team, std::uint32_t want,
      const std::optional<stored_value>& current);
  kj::Promise<void> Borrow(const std::string& team, std::uint32_t want);
  std::string ChooseLender(team_state& state);
  void WriteGiveBack(const std::string& team, std::uint32_t count);
  kj::Promise<void> Leave(const std::string& team);
  bool MayRegister(const std::string& team) const;
  std::string Predecessor(const quota::token_record& record) const;
  std::uint32_t FirstShare(const quota::token_record& record) const;

  kj::Timer& timer_;
  clock clock_;
  const control_options& options_;
  store_port& store_;
  peer_mesh& mesh_;
  settings_keeper& keeper_;
  std::string holder_;
  bool stopping_ = false;
  millis started_ms_;
  bool entry_stated_ = false;
  std::uint64_t records_revision_ = 0;
  std::string next_spare_;  // Team from which the next digest continues.
  std::map<std::string, std::unique_ptr<team_state>> teams_;
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace radishwing::control

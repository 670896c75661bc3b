#pragma once

#include <kj/async-io.h>

#include <string>
#include <vector>

#include "src/control/control_options.h"
#include "src/control/operator_hooks.h"
#include "src/control/peer_mesh.h"
#include "src/control/settings_keeper.h"
#include "src/control/store_port.h"

namespace radishwing::control {

/// Carries out what operators ask of a control: shows its members and its
/// settings, and writes new settings to the store. Used on the decide thread.
class operator_service : private kj::TaskSet::ErrorHandler {
 public:
  operator_service(clock now, const control_options& options, store_port& store,
                   settings_keeper& keeper, peer_mesh& mesh);

  void Status(json_completion completion);

  void GetSettings(operator_completion<settings_revision> completion);

  /// Writes the proposal if the store still holds its base revision. The
  /// revision that it replaces goes to the history first, so that a crash
  /// between the two writes leaves no hole.
  void ApplySettings(settings_proposal proposal,
                     operator_completion<proposal_outcome> completion);

  void History(operator_completion<std::vector<settings_revision>> completion);

  void SettingsAt(std::uint64_t revision,
                  operator_completion<settings_revision> completion);

  /// What each member that may still serve has in force.
  void Confirmations(
      operator_completion<std::vector<member_confirmation>> completion);

 private:
  using outcome = result<proposal_outcome>;

  void taskFailed(kj::Exception&& exception) override;
  template <typename T>
  void Complete(kj::Promise<result<T>> promise,
                operator_completion<T> completion);
  kj::Promise<outcome> Propose(settings_proposal proposal);
  kj::Promise<result<done>> KeepReplaced(const rpc::settings_text& replaced);
  kj::Promise<outcome> WriteHead(const settings_proposal& proposal,
                                 std::uint64_t expect);
  outcome Judge(const settings_proposal& proposal,
                const rpc::settings_text& current);
  bool MayServe(const membership::member& row) const;

  clock clock_;
  const control_options& options_;
  store_port& store_;
  settings_keeper& keeper_;
  peer_mesh& mesh_;
  kj::TaskSet tasks_;  // Last, so that it is destroyed first.
};

}  // namespace radishwing::control

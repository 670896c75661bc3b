#include "src/control/operator_wiring.h"

#include <utility>

#include "src/base/log.h"
#include "src/control/control_core.h"
#include "src/control/operator_service.h"

namespace radishwing::control {
namespace {

/// Runs `action` on the decide thread, or completes with kFull.
template <typename T, typename Action>
void OnDecide(control_process& process, operator_completion<T> completion,
              Action action) {
  const bool posted = process.Post(
      [completion, action = std::move(action)](control_core& core) mutable {
        action(core.Operators(), std::move(completion));
      });
  if (!posted) {
    completion(failure{failure_kind::kFull, "the control process is busy"});
  }
}

/// A hook that takes nothing but its completion.
template <typename T>
auto Read(control_process& process,
          void (operator_service::*method)(operator_completion<T>)) {
  return [&process, method](operator_completion<T> completion) {
    OnDecide<T>(process, std::move(completion),
                [method](operator_service& service, auto done) {
                  (service.*method)(std::move(done));
                });
  };
}

}  // namespace

operator_hooks MakeOperatorHooks(control_process& process) {
  operator_hooks hooks;
  hooks.status = Read(process, &operator_service::Status);
  hooks.get_settings = Read(process, &operator_service::GetSettings);
  hooks.settings_history = Read(process, &operator_service::History);
  hooks.apply_settings = [&process](settings_proposal proposal,
                                    auto completion) {
    OnDecide<proposal_outcome>(
        process, std::move(completion),
        [proposal = std::move(proposal)](operator_service& service,
                                         auto done) mutable {
          service.ApplySettings(std::move(proposal), std::move(done));
        });
  };
  hooks.settings_at = [&process](std::uint64_t revision, auto completion) {
    OnDecide<settings_revision>(
        process, std::move(completion),
        [revision](operator_service& service, auto done) {
          service.SettingsAt(revision, std::move(done));
        });
  };
  hooks.confirmations = [&process](std::uint64_t, auto completion) {
    OnDecide<std::vector<member_confirmation>>(
        process, std::move(completion),
        [](operator_service& service, auto done) {
          service.Confirmations(std::move(done));
        });
  };
  hooks.set_log_level = SetLogLevel;
  return hooks;
}

}  // namespace radishwing::control

#include "src/control/operator_wiring.h"

#include <utility>

#include "src/base/log.h"
#include "src/control/control_core.h"
#include "src/control/operator_service.h"

namespace radishwing::control {
namespace {

failure Busy() { return {failure_kind::kFull, "the control process is busy"}; }

/// Runs `action` on the decide thread, or completes with kFull.
template <typename T, typename Action>
void OnDecide(control_process& process, operator_completion<T> completion,
              Action action) {
  const bool posted = process.Post(
      [completion, action = std::move(action)](control_core& core) mutable {
        action(core.Operators(), std::move(completion));
      });
  if (!posted) {
    completion(Busy());
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

/// A hook that runs a method of a part of the core with a name or an order.
template <typename Part, typename Subject>
auto Of(control_process& process, Part& (control_core::*part)(),
        void (Part::*method)(Subject, json_completion)) {
  return [&process, part, method](std::decay_t<Subject> subject,
                                  json_completion completion) {
    const bool posted =
        process.Post([part, method, subject, completion](control_core& core) {
          ((core.*part)().*method)(subject, completion);
        });
    if (!posted) completion(Busy());
  };
}

template <typename Part>
auto Of(control_process& process, Part& (control_core::*part)(),
        void (Part::*method)(json_completion)) {
  return [&process, part, method](json_completion completion) {
    const bool posted =
        process.Post([part, method, completion](control_core& core) {
          ((core.*part)().*method)(completion);
        });
    if (!posted) completion(Busy());
  };
}

void AddFleetHooks(control_process& process, operator_hooks& hooks) {
  const auto fleet = &control_core::Fleet;
  hooks.list_hosts = Of(process, fleet, &fleet_service::ListHosts);
  hooks.show_host = Of(process, fleet, &fleet_service::ShowHost);
  hooks.order_host = Of(process, fleet, &fleet_service::OrderHost);
  hooks.list_pools = Of(process, fleet, &fleet_service::ListPools);
  hooks.show_pool = Of(process, fleet, &fleet_service::ShowPool);
  const auto waves = &control_core::Waves;
  hooks.list_waves = Of(process, waves, &wave_board::ListWaves);
  hooks.show_wave = Of(process, waves, &wave_board::ShowWave);
  hooks.explain =
      Of(process, &control_core::Explanations, &explain_service::Explain);
  const auto jobs = &control_core::JobOperators;
  hooks.list_jobs = Of(process, jobs, &job_operators::ListJobs);
  hooks.show_job = Of(process, jobs, &job_operators::ShowJob);
  hooks.cancel_job = Of(process, jobs, &job_operators::CancelJob);
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
  AddFleetHooks(process, hooks);
  hooks.set_log_level = SetLogLevel;
  return hooks;
}

}  // namespace radishwing::control

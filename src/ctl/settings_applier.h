#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/base/result.h"
#include "src/ctl/command_context.h"
#include "src/ctl/settings_change.h"

namespace radishwing::ctl {

/// Applies one change of the settings: checks it here, sends it once, resolves
/// a lost answer by its change id, and waits until it is in force everywhere.
class settings_applier {
 public:
  /// Keeps a reference to `context`.
  explicit settings_applier(const command_context& context)
      : context_(context) {}

  /// Prints what happens. In a dry run it only shows findings, differences and
  /// conflicts.
  exit_code Apply(const settings_change& change);

 private:
  enum class state { kApplied, kNotApplied, kUnknown };
  struct lookup {
    state found = state::kUnknown;
    std::uint64_t revision = 0;
  };

  exit_code DryRun(const settings_change& change);
  exit_code Send(const settings_change& change);
  exit_code ResolveLostAnswer(const settings_change& change);
  lookup LookUp(std::uint64_t base_revision);
  exit_code ShowConflict(const settings_change& change,
                         const settings_record& theirs);
  exit_code AwaitConfirmations(const settings_change& change,
                               std::uint64_t revision);
  exit_code ReportUnknown(const settings_change& change);
  std::optional<std::vector<std::string>> Unconfirmed(std::uint64_t revision);
  exit_code Report(const settings_change& change, std::uint64_t revision,
                   const std::vector<std::string>& unconfirmed, exit_code code);

  const command_context& context_;
  std::string change_id_;
};

/// The settings now in force; revision 0 if none have been applied yet.
result<settings_record> FetchSettings(operator_client& client);

/// An older revision from the history.
result<settings_record> FetchRevision(operator_client& client,
                                      std::uint64_t revision);

}  // namespace radishwing::ctl

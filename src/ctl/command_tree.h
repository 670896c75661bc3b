#pragma once

#include <CLI/App.hpp>

#include "src/ctl/app_options.h"

namespace radishwing::ctl {

enum class command_needs { kNothing, kControl };

/// The command that the line selected.
struct selected_command {
  app_command run;
  command_needs needs = command_needs::kNothing;
};

/// Adds the options that every command has.
void AddGlobalOptions(CLI::App& app, app_options& options);

/// Adds every command. Parsing sets `command`; all three objects must live
/// until then.
void AddCommands(CLI::App& app, app_options& options,
                 selected_command& command);

}  // namespace radishwing::ctl

#pragma once

#include <string>
#include <vector>

#include "src/ctl/command_context.h"
#include "src/settings/process_settings.h"

namespace radishwing::ctl {

/// What the command line tool takes from its surroundings.
struct app_hooks {
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
  settings::environment environment;
  operator_transport transport;
  std::function<std::string()> make_change_id;
  std::function<void(millis)> sleep;
  clock now = clock::Monotonic();
};

/// Runs one command line, without the program's name. Returns the exit code.
int RunApp(const std::vector<std::string>& arguments, const app_hooks& hooks);

}  // namespace radishwing::ctl

#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "src/ctl/store_reader.h"

namespace radishwing::ctl {

/// Output streams and store access of radishwingctl. Tests substitute their
/// own.
struct app_environment {
  std::ostream* out = nullptr;  ///< Receives the result of the command.
  std::ostream* err = nullptr;  ///< Receives error messages.
  /// Creates a reader of the store at `address`, which has the form "ip:port".
  std::function<result<store_reader>(const std::string& address)> open_store;
};

/// Runs the command in `arguments`, which do not include the program name.
/// Returns the exit code for the process, see ctl::exit_code.
int RunApp(const std::vector<std::string>& arguments,
           const app_environment& environment);

}  // namespace radishwing::ctl

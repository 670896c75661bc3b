#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "src/ctl/store_reader.h"

namespace radishwing::ctl {

/// Output streams and store access of a radishwingctl run. Tests substitute
/// their own.
struct app_environment {
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
  std::function<result<store_reader>(const std::string& address)> open_store;
};

/// Runs the command given by `arguments`, which exclude the program name.
/// Returns the exit code of the process.
int RunApp(const std::vector<std::string>& arguments,
           const app_environment& environment);

}  // namespace radishwing::ctl

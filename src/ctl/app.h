#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "src/ctl/store_reader.h"

namespace radishwing::ctl {

/// What a run of radishwingctl works with; tests replace it.
struct app_hooks {
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
  std::function<result<store_reader>(const std::string& address)> open_store;
};

/// Runs one command; `arguments` without the program's name. Returns the exit
/// code of the process.
int RunApp(const std::vector<std::string>& arguments, const app_hooks& hooks);

}  // namespace radishwing::ctl

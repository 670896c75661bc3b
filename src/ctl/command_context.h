#pragma once

#include <ostream>
#include <string_view>

#include "src/ctl/exit_code.h"
#include "src/ctl/store_reader.h"

namespace radishwing::ctl {

/// What every command works with.
struct command_context {
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
  /// Empty hooks for commands that do not read the store.
  store_reader store;
};

/// Prints a failure and returns its exit code.
exit_code Fail(const command_context& context, const failure& error);

/// `text` with control characters replaced by `?`, so that a value from the
/// network cannot control the terminal. Line ends and tabs stay.
std::string Printable(std::string_view text);

}  // namespace radishwing::ctl

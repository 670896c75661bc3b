#pragma once

#include <ostream>
#include <string_view>

#include "src/ctl/exit_code.h"
#include "src/ctl/store_reader.h"

namespace radishwing::ctl {

/// Output streams and store reader that a command uses.
struct command_context {
  std::ostream* out = nullptr;  ///< Receives the result of the command.
  std::ostream* err = nullptr;  ///< Receives error messages.
  /// The functions of `store` are empty if the command does not read the store.
  store_reader store;
};

/// Prints the message of `error` to the error stream and returns the exit code
/// for its kind.
exit_code ReportFailure(const command_context& context, const failure& error);

/// Returns `text` with control characters replaced by `?`, so that a value from
/// the network cannot inject terminal escape sequences. Line feeds and tabs are
/// kept.
std::string SanitizeForTerminal(std::string_view text);

}  // namespace radishwing::ctl

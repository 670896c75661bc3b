#pragma once

#include <string>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// What CheckConfigFile compares a configuration with, and how it answers.
struct config_check_options {
  std::string file;          ///< Configuration as it would be sent.
  std::string current_file;  ///< Configuration in force; empty: the store's.
  bool as_json = false;      ///< Prints one JSON object instead of lines.
};

/// Checks a configuration before it is sent: errors, entries that can never
/// match, limits that contradict each other. If the configuration in force is
/// given, in a file or by a store, also prints what changes and what that means
/// for running work. Returns kFindings if there are errors.
exit_code CheckConfigFile(const command_context& context,
                          const config_check_options& options);

}  // namespace radishwing::ctl

#pragma once

#include <string>
#include <vector>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// Validates settings files and prints each error with its file and line.
/// Returns kFindings if there are errors.
exit_code CheckSettings(const command_context& context,
                        const std::vector<std::string>& files);

/// Prints the reference documentation of all settings.
exit_code ShowSchema(const command_context& context);

}  // namespace radishwing::ctl

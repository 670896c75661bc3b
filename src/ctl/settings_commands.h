#pragma once

#include <string>
#include <vector>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// Checks settings files and prints each finding with its location.
exit_code CheckSettings(const command_context& context,
                        const std::vector<std::string>& files);

/// Prints the reference page of all settings.
exit_code ShowSchema(const command_context& context);

}  // namespace radishwing::ctl

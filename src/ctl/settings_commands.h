#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// `settings check`: checks files without a control.
exit_code CheckSettings(const command_context& context,
                        const std::vector<std::string>& files);

/// `settings diff`: differences between the settings in force and a file.
exit_code DiffSettings(const command_context& context, const std::string& file);

/// `settings apply`: applies a file that was made from `base_revision`. Only
/// the first settings of a fleet need no base: without one, a change that
/// somebody made meanwhile would be reverted unseen.
exit_code ApplySettings(const command_context& context, const std::string& file,
                        std::optional<std::uint64_t> base_revision);

/// `settings get`: prints a text; revision 0 means the one in force.
exit_code GetSettings(const command_context& context, std::uint64_t revision);

/// `settings history`: the last revisions with authors and change ids.
exit_code ShowHistory(const command_context& context);

}  // namespace radishwing::ctl

#pragma once

#include <boost/json/object.hpp>
#include <functional>

#include "src/ctl/command_context.h"
#include "src/settings/text_editor.h"

namespace radishwing::ctl {

/// Changes a settings text in place, or tells why that is not possible.
using settings_edit = std::function<result<done>(settings::text_editor&)>;

/// Fetches the settings in force, edits and applies them. `shown` is printed
/// with the outcome if the change is, or may be, applied.
exit_code EditSettings(const command_context& context,
                       const settings_edit& edit,
                       const boost::json::object& shown = {});

/// Adds the top branch `name` if the text has none.
result<done> EnsureBranch(settings::text_editor& editor,
                          const std::string& name);

/// `text` as a JSON string.
std::string JsonText(std::string_view text);

}  // namespace radishwing::ctl

#pragma once

#include <span>
#include <string>
#include <string_view>

#include "src/ctl/command_context.h"
#include "src/ctl/text_table.h"

namespace radishwing::ctl {

/// Fetches `target` and prints the list `field` of the answer as a table.
exit_code ShowList(const command_context& context, const std::string& target,
                   std::string_view field,
                   std::span<const table_column> columns);

/// Fetches `target` and prints the members of the answer.
exit_code ShowObject(const command_context& context, const std::string& target);

}  // namespace radishwing::ctl

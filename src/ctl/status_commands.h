#pragma once

#include <string>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// `status`: the control that answers, and the members it sees.
exit_code ShowStatus(const command_context& context);

/// `explain`: why a request, host or team is treated as it is. `kind` is
/// `request`, `host` or `team`.
exit_code Explain(const command_context& context, const std::string& kind,
                  const std::string& name);

}  // namespace radishwing::ctl

#pragma once

#include <string>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// `pool list` and `pool show`.
exit_code ShowPools(const command_context& context);
exit_code ShowPool(const command_context& context, const std::string& pool);

/// `host list` and `host show`.
exit_code ShowHosts(const command_context& context);
exit_code ShowHost(const command_context& context, const std::string& host);

/// `host drain|return`: `order` is one of the two.
exit_code OrderHost(const command_context& context, const std::string& host,
                    const std::string& order);

/// `pool move-host`.
exit_code MoveHost(const command_context& context, const std::string& host,
                   const std::string& pool);

}  // namespace radishwing::ctl

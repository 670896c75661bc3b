#pragma once

#include <string>
#include <vector>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// `wave plan`: adds a wave. Without pools it concerns every pool.
exit_code PlanWave(const command_context& context, const std::string& wave,
                   const std::vector<std::string>& pools,
                   const std::string& kind);

/// `wave start|pause|resume|abort`: changes the wanted state. An order that
/// does not fit the present state is refused.
exit_code OrderWave(const command_context& context, const std::string& wave,
                    const std::string& order);

/// `wave list` and `wave show`: progress.
exit_code ShowWaves(const command_context& context);
exit_code ShowWave(const command_context& context, const std::string& wave);

}  // namespace radishwing::ctl

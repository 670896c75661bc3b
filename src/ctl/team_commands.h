#pragma once

#include <cstdint>
#include <string>

#include "src/ctl/command_context.h"

namespace radishwing::ctl {

/// `team add`.
exit_code AddTeam(const command_context& context, const std::string& team,
                  double share, std::uint32_t upper_limit);

/// `team set-share`.
exit_code SetTeamShare(const command_context& context, const std::string& team,
                       double share);

/// `team set-limit`.
exit_code SetTeamLimit(const command_context& context, const std::string& team,
                       std::uint32_t upper_limit);

/// `team grant-key`: makes a random key, adds its hash to the settings and
/// prints the key, once. The key is kept nowhere else.
exit_code GrantKey(const command_context& context, const std::string& team,
                   const std::string& key_id);

/// `team withdraw-key`.
exit_code WithdrawKey(const command_context& context, const std::string& team,
                      const std::string& key_id);

}  // namespace radishwing::ctl

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/log.h"
#include "src/settings/field_schema.h"
#include "src/settings/secret_text.h"
#include "src/settings/source_tree.h"

namespace radishwing::settings {

/// Daemons that have a settings file of their own.
enum class daemon_kind { kEntry, kControl };

/// Settings of one process. Fields of the other daemon stay empty.
struct process_settings {
  std::string host;
  std::string data_centre;
  std::string control_address;  ///< Entry: connects to it. Control: listens.
  std::string metrics_address;
  secret_text fleet_secret;
  log_level minimum_level = log_level::kInfo;
  /// How long the platform's load balancer needs to stop sending new work
  /// after readiness fails, in milliseconds.
  std::int64_t balancer_delay_ms = 0;

  std::string caller_address;  ///< Entry only.

  std::string operator_address;    ///< Control only.
  secret_text operator_secret;     ///< Control only.
  std::string platform_address;    ///< Control only.
  std::vector<std::string> peers;  ///< Control only.
};

/// Reads an environment variable; nothing if it is not set.
using environment =
    std::function<std::optional<std::string>(const std::string& name)>;

/// The environment of this process.
environment SystemEnvironment();

/// Schema of the process settings of one daemon.
std::span<const field_schema> ProcessSchema(daemon_kind daemon);

/// Reads and checks the settings file of a daemon, and reads its secrets from
/// files or from the environment. Findings never contain a secret.
checked<process_settings> LoadProcessSettings(
    const std::string& file, daemon_kind daemon,
    const environment& env = SystemEnvironment());

/// The same for a text that was already read; `file` is shown in findings.
checked<process_settings> ParseProcessSettings(const std::string& file,
                                               std::string_view text,
                                               daemon_kind daemon,
                                               const environment& env);

}  // namespace radishwing::settings

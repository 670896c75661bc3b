#pragma once

#include <string_view>

namespace radishwing {

/// Severity of a log line, in increasing order.
enum class log_level { kDebug, kInfo, kWarning, kError };

/// Configures logging to standard output, one line per message, with wall time
/// and level. Call once at program start.
void ConfigureLogs(std::string_view program, log_level minimum);

/// Sets the minimum severity of the lines that are written. Thread-safe.
void SetLogLevel(log_level minimum);

/// Writes one line `<component>: <message>`. `message` is a short sentence
/// followed by key=value fields. It must not contain keys or secrets.
/// Thread-safe.
void Log(log_level level, std::string_view component, std::string_view message);

inline void LogInfo(std::string_view component, std::string_view message) {
  Log(log_level::kInfo, component, message);
}
inline void LogWarning(std::string_view component, std::string_view message) {
  Log(log_level::kWarning, component, message);
}
inline void LogError(std::string_view component, std::string_view message) {
  Log(log_level::kError, component, message);
}

}  // namespace radishwing

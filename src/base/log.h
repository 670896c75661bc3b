#pragma once

#include <string_view>

namespace radishwing {

/// Severity of a log line, in increasing order.
enum class log_level { kDebug, kInfo, kWarning, kError };

/// Configures logging to standard output. Each message becomes one line with
/// the wall time, the level of the message and the program name `program`.
/// Drops messages below the level `minimum`. Call once at program start.
void ConfigureLogs(std::string_view program, log_level minimum);

/// Sets the minimum severity of the lines that are written. Thread-safe.
void SetLogLevel(log_level minimum);

/// Writes the line `<component>: <message>`. `message` is a short sentence
/// followed by key=value fields and must not contain API keys or other secrets.
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

#pragma once

#include <string_view>

namespace radishwing {

/// Severity of a log line, least severe first.
enum class log_level { kDebug, kInfo, kWarning, kError };

/// Sends logs to standard output, one line each, with wall time and level.
/// Call once at the start of a program.
void ConfigureLogs(std::string_view program, log_level minimum);

/// Changes the least severe level that is written. Callable from any thread.
void SetLogLevel(log_level minimum);

/// Writes one line `<part>: <text>`. `text` is a short sentence followed by
/// key=value fields and never holds a key or secret. Callable from any thread.
void Log(log_level level, std::string_view part, std::string_view text);

inline void LogInfo(std::string_view part, std::string_view text) {
  Log(log_level::kInfo, part, text);
}
inline void LogWarning(std::string_view part, std::string_view text) {
  Log(log_level::kWarning, part, text);
}
inline void LogError(std::string_view part, std::string_view text) {
  Log(log_level::kError, part, text);
}

}  // namespace radishwing

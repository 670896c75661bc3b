#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishwing::tools {

/// What a caller learned about one request.
enum class load_outcome {
  kAnswered,  ///< A whole answer from a runner.
  kRefused,   ///< Told that the request was not run.
  kUnknown,   ///< Told that the outcome is unknown, or the connection broke.
  kNotSent,   ///< No target could be reached; no byte was sent.
};

/// One request as its caller saw it.
struct load_record {
  std::string id;
  std::string team;
  std::string service;
  bool idempotent = true;
  load_outcome outcome = load_outcome::kNotSent;
  unsigned status = 0;
  std::int64_t latency_us = 0;
  bool mismatched = false;  ///< The answer names another request.
};

/// One line: id, team, service, idempotent, outcome, status, latency, match.
std::string FormatLoadRecord(const load_record& record);

/// The inverse of FormatLoadRecord; nothing if the line is not a record.
std::optional<load_record> ParseLoadRecord(std::string_view line);

}  // namespace radishwing::tools

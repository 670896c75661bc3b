#pragma once

#include <optional>
#include <string_view>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/entry/http_types.h"
#include "src/fairness/work_class.h"

namespace radishwing::entry {

/// The radishwing headers of one request, checked. Views point into the
/// parsed fields.
struct request_head {
  std::string_view key;         ///< API key; empty if there is none.
  std::string_view request_id;  ///< Empty if the caller gave none.
  bool idempotent = false;
  bool first_attempt = false;  ///< `Radishwing-Attempt: 1`.
  fairness::work_class cls = fairness::work_class::kInteractive;
  std::optional<millis> deadline_ms;
  std::string_view user;
  std::string_view workspace;
};

/// Reads the headers. A failure's message names the header and what is
/// allowed.
result<request_head> ReadRequestHead(const http::fields& fields);

/// True for 1 to 64 characters of `[A-Za-z0-9._-]`.
bool IsRequestId(std::string_view text);

/// A number of `text` in [low, high], or nothing.
std::optional<std::int64_t> ReadNumber(std::string_view text, std::int64_t low,
                                       std::int64_t high);

}  // namespace radishwing::entry

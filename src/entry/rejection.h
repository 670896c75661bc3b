#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/requests/claim.h"
#include "src/rpc/entry_link.h"

namespace radishwing::entry {

/// A response that radishwing makes itself. `reason` is a stable code that
/// docs/api.md lists.
struct rejection {
  std::uint16_t status = 503;
  std::string_view reason;
  std::string message;
  requests::outcome outcome = requests::outcome::kNotRun;
  bool close = false;             ///< The connection cannot be used any more.
  std::uint32_t retry_after = 0;  ///< Seconds; 0: no Retry-After header.
  std::string extra = {};         ///< Further JSON members, each after a comma.
};

/// Appends the whole HTTP/1.1 response. `keep` tells whether the connection
/// stays open.
void AppendRejection(const rejection& r, std::string_view request_id, bool keep,
                     bool head_only, std::string& out);

/// Appends the response with a job's state or result.
void AppendJobResponse(const rpc::job_answer& job, std::string_view request_id,
                       bool keep, std::string& out);

}  // namespace radishwing::entry

#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/result.h"
#include "src/sched/admission_policy.h"
#include "src/sched/pool_backlog.h"

namespace radishwing::sched {

/// Encodes a summary for other nodes.
std::string EncodeBacklog(const backlog_summary& summary);

/// Decodes the output of EncodeBacklog(). Fails with kInvalid if `text` is
/// malformed or has an impossible value.
result<backlog_summary> DecodeBacklog(std::string_view text);

/// Encodes refused work, for the leader.
std::string EncodeRefusedWork(std::span<const returning_work> refused);

/// Decodes the output of EncodeRefusedWork(). Fails with kInvalid if `text` is
/// malformed or has an impossible value.
result<std::vector<returning_work>> DecodeRefusedWork(std::string_view text);

}  // namespace radishwing::sched

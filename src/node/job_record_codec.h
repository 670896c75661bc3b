#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/fleet/job_record.h"

namespace radishwing::node {

/// Encodes the stored record of an accepted job. `leader_fence` is the fencing
/// token of the leader that the accepting node notifies, 0 if it knows none.
std::string EncodeJobRecord(const fleet::job_record& record,
                            std::uint64_t leader_fence);

/// A decoded job record.
struct stored_job {
  fleet::job_record record;
  std::uint64_t leader_fence = 0;
};

/// Fails with kInvalid if `text` is not a valid job record.
result<stored_job> DecodeJobRecord(std::string_view id, std::string_view text);

}  // namespace radishwing::node

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/fleet/job_record.h"

namespace radishwing::node {

/// The record of an accepted job in the store. `leader_fence` is that of the
/// leader to which the accepting node sends the job, 0 if it knows none.
std::string EncodeJobRecord(const fleet::job_record& record,
                            std::uint64_t leader_fence);

/// A decoded record.
struct stored_job {
  fleet::job_record record;
  std::uint64_t leader_fence = 0;
};

/// Fails with kInvalid if `text` is no record of ours.
result<stored_job> DecodeJobRecord(std::string_view id, std::string_view text);

}  // namespace radishwing::node

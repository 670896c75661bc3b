#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/fleet/job_record.h"

namespace radishwing::node {

/// Encodes an accepted job as the value of its key in the store.
/// `leader_fencing_token` is the fencing token of the leader that this node
/// notifies of the job, or 0 if this node knows no leader.
std::string EncodeJobRecord(const fleet::job_record& record,
                            std::uint64_t leader_fencing_token);

/// Decoded value of a job's key.
struct stored_job {
  fleet::job_record record;
  std::uint64_t leader_fencing_token = 0;  ///< See EncodeJobRecord.
};

/// Decodes `text`, the value of the key of the job `id`. Fails with kInvalid if
/// `text` is malformed.
result<stored_job> DecodeJobRecord(std::string_view id, std::string_view text);

}  // namespace radishwing::node

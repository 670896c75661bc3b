#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/jobs/job_record.h"

namespace radishwing::jobs {

/// Many jobs in one value of the store, key `jobs/<data_centre>/<batch>`.
struct job_batch {
  std::string id;
  std::string owner;          ///< "<host>#<incarnation>" that drives the jobs.
  std::uint64_t version = 0;  ///< Last known; 0: not known to exist.
  std::map<std::uint32_t, job_record> jobs;
  std::uint32_t next_number = 1;

  // Below: only in memory.
  std::size_t bytes = 0;   ///< Approximate size of the value.
  bool dirty = false;      ///< Differs from what the store is known to hold.
  bool must_read = false;  ///< The store may hold something else.
  millis write_after = 0;
  millis read_after = 0;
};

/// The parts of a job id.
struct job_key {
  std::string data_centre;
  std::string batch;
  std::uint32_t number = 0;
};

std::string FormatJobId(const job_key& key);
/// Fails with kInvalid if `id` has another form.
result<job_key> ParseJobId(std::string_view id);

std::string BatchKey(std::string_view data_centre, std::string_view batch);

/// The value of the batch, with a new change id.
std::string FormatBatch(const job_batch& batch);

/// Inverse of FormatBatch. Fails with kInternal if the value is malformed.
result<job_batch> ParseBatch(std::string_view id, std::string_view value,
                             std::uint64_t version);

}  // namespace radishwing::jobs

#pragma once

#include <boost/json/object.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "src/jobs/job_state.h"

namespace radishwing::jobs {

/// One job as the store keeps it.
struct job_record {
  std::string id;  ///< "<data_centre>.<batch>-<number>"
  std::string service;
  std::string team;
  bool idempotent = false;
  std::string body;  ///< UTF-8; dropped when no further task can need it.
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  std::uint32_t longest_run_seconds = 0;

  job_state state = job_state::kAccepted;
  bool cancel = false;  ///< A caller asked to cancel it.
  /// Number of the current attempt, from 1. The task's id derives from it, so
  /// that two processes that drive one job start the same task.
  std::uint32_t attempt = 1;
  std::string host;                    ///< Of the current attempt, if known.
  std::vector<std::string> failed_on;  ///< Different hosts on which it failed.
  std::string reason;                  ///< Why it ended, unless finished.

  /// Not stored. A task of the current attempt may exist although the record
  /// does not say so: the call that starts it is unresolved, or the record was
  /// read from the store and may be behind.
  bool in_doubt = false;
  bool recovered = false;  ///< Not stored. The record was read from the store.
};

/// Id of the task of the current attempt.
std::string TaskIdOf(const job_record& job);

/// JSON form in the store.
boost::json::object ToJson(const job_record& job);

/// Size of the job in a value of the store, with room for later changes.
std::size_t StoredBytes(const job_record& job);

/// Inverse of ToJson. Throws std::exception if `object` is malformed.
job_record ParseJob(const boost::json::object& object);

}  // namespace radishwing::jobs

#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>

#include "tools/load/load_record.h"

namespace radishwing::tools {

/// Runs of one request identifier, as the runners recorded them.
struct run_count {
  std::uint32_t started = 0;
  std::uint32_t completed = 0;
};

/// Totals of a session, from the callers' and the runners' records alone.
struct tally_totals {
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  /// Answered without a completed run, answered with another request's answer,
  /// or told "not run" although a run started.
  std::uint64_t lost = 0;
  /// Non-idempotent requests that started more than once.
  std::uint64_t doubled = 0;
};

/// Compares what callers were told with what runners did.
class tally {
 public:
  /// Reads runner record lines: `started <id> …` and `completed <id> …`.
  void AddRunnerRecords(std::istream& in);

  /// Reads the load generator's record lines. Runner records come first.
  void AddLoadRecords(std::istream& in);

  const tally_totals& Totals() const { return totals_; }

 private:
  void Count(const load_record& record);

  std::map<std::string, run_count> runs_;
  tally_totals totals_;
};

}  // namespace radishwing::tools

#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "src/base/result.h"

namespace radishwing::report {

/// Text and version of a stored record. The version of a record that does not
/// exist is 0.
struct stored_record {
  std::string text;
  std::uint64_t version = 0;
};

/// Storage for the records of the report. Each record is a windowed_counters
/// object, encoded as JSON and identified by a name.
struct record_store {
  /// Returns the record `name`.
  std::function<result<stored_record>(const std::string& name)> read;
  /// Replaces the record if its stored version is still `version`. Fails with
  /// kConflict if the version has changed. Fails with kTimeout if it is unknown
  /// whether the write took effect.
  std::function<result<success>(const std::string& name,
                                const std::string& text, std::uint64_t version)>
      write;
};

/// Returns a store that keeps records under the keys `rw/burn/<name>` of the
/// platform's store at `address`, "ip:port".
result<record_store> MakePlatformStore(const std::string& address);

/// Returns a store that keeps records in the memory of this process.
record_store MakeMemoryStore();

}  // namespace radishwing::report

#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "src/base/result.h"

namespace radishwing::report {

/// A record as the store has it. Version 0 means that it does not exist.
struct stored_record {
  std::string text;
  std::uint64_t version = 0;
};

/// Where burn records are kept.
struct record_store {
  std::function<result<stored_record>(const std::string& name)> read;
  /// Compare-and-swap on the version. kConflict if it has changed, kTimeout
  /// if the effect is unknown.
  std::function<result<done>(const std::string& name, const std::string& text,
                             std::uint64_t version)>
      write;
};

/// Keeps records under the keys `rw/burn/<name>` of the platform's store at
/// "ip:port".
result<record_store> MakePlatformStore(const std::string& address);

/// Keeps records in the memory of this process.
record_store MakeMemoryStore();

}  // namespace radishwing::report

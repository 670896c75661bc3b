#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "src/base/result.h"

namespace radishwing::report {

/// A stored record with its version. Version 0 means that it does not exist.
struct stored_record {
  std::string text;
  std::uint64_t version = 0;
};

/// Storage for the records of windowed_counters.
struct record_store {
  std::function<result<stored_record>(const std::string& name)> read;
  /// Compare-and-swap on the version. Fails with kConflict if the version has
  /// changed and with kTimeout if it is unknown whether the write took effect.
  std::function<result<success>(const std::string& name,
                                const std::string& text, std::uint64_t version)>
      write;
};

/// Stores records under the keys `rw/burn/<name>` of the platform's store at
/// "ip:port".
result<record_store> MakePlatformStore(const std::string& address);

/// Stores records in the memory of this process.
record_store MakeMemoryStore();

}  // namespace radishwing::report

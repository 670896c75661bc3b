#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/maintenance/host_record.h"

namespace radishwing::control {

/// What the runner table needs of a host record.
struct host_view {
  std::string host;
  std::string data_centre;
  std::string pool;
  std::string state;  ///< `active`, `draining`, `empty`, …
  std::uint64_t epoch = 0;
  /// The whole record, if it has all its fields.
  std::optional<maintenance::host_record> record;
};

/// Reads the record under `host/<data_centre>/<host>`.
result<host_view> DecodeHostView(std::string_view key, std::string_view value);

}  // namespace radishwing::control

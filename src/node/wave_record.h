#pragma once

#include <set>
#include <string>
#include <string_view>

namespace radishwing::node {

/// Progress of a maintenance wave, for the next leader.
struct wave_record {
  /// Names of the hosts that need no further order: their maintenance has begun
  /// or was refused for good.
  std::set<std::string> started_hosts;
  /// Names of the hosts that a list of the hosts has shown. One that is missing
  /// from a later list is gone.
  std::set<std::string> listed_hosts;

  friend bool operator==(const wave_record&, const wave_record&) = default;
};

/// Returns the text of the record.
std::string EncodeWaveRecord(const wave_record& record);

/// Returns the record with the given text. Malformed parts are ignored: an
/// order that is repeated is harmless.
wave_record DecodeWaveRecord(std::string_view text);

}  // namespace radishwing::node

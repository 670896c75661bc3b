#pragma once

#include <array>
#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "src/base/clock.h"

namespace radishwing::platform_fake {

/// Counts calls by kind, in total and per second over the last 10 s.
class call_counter {
 public:
  void Count(std::string_view kind, millis now);
  std::uint64_t Total(std::string_view kind) const;
  /// `{"total":{kind:n},"per_second":{kind:rate}}`.
  boost::json::object Report(millis now) const;

 private:
  static constexpr std::size_t kSeconds = 10;

  struct tally {
    std::uint64_t total = 0;
    std::array<std::uint32_t, kSeconds> calls{};
    std::array<millis, kSeconds> second{};
  };

  std::map<std::string, tally, std::less<>> kinds_;
};

}  // namespace radishwing::platform_fake

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::jobs {

/// Finds workers that fail everything they start: several failures of
/// different jobs with no success in between. Such a host is avoided for a
/// time that doubles with each further failure.
class worker_health {
 public:
  void OnFinished(std::string_view host);
  void OnFailed(std::string_view host, std::string_view job, millis now);

  /// True if the host fails whatever it starts, so that its failures say
  /// nothing about the jobs.
  bool AtFault(std::string_view host) const;

  /// Hosts to avoid at `now`.
  std::vector<std::string> Avoid(millis now) const;

 private:
  struct entry {
    std::uint32_t failures = 0;  ///< In a row, of different jobs.
    std::string last_job;
    millis avoid_until = 0;
  };

  std::map<std::string, entry, std::less<>> hosts_;
};

}  // namespace radishwing::jobs

#pragma once

#include <cstdio>
#include <string>

#include "src/base/clock.h"

namespace review {

/// Writes one line for each event to a file. Each line begins with the time in
/// ms since the recorder was created.
class recorder {
 public:
  explicit recorder(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")), started_at_(clock_.Now()) {}
  ~recorder() {
    if (file_) std::fclose(file_);
  }
  recorder(const recorder&) = delete;
  recorder& operator=(const recorder&) = delete;

  radishwing::millis Now() const { return clock_.Now() - started_at_; }

  void Write(const std::string& text) {
    if (!file_) return;
    std::fprintf(file_, "%7lld %s\n", static_cast<long long>(Now()),
                 text.c_str());
    std::fflush(file_);
  }

 private:
  radishwing::clock clock_ = radishwing::clock::Monotonic();
  std::FILE* file_;
  radishwing::millis started_at_;
};

}  // namespace review

#pragma once

#include <cstdio>
#include <string>

#include "http.h"

namespace world {

/// Writes what was sent, answered and run to a file, one line each, with the
/// time in seconds.
class record {
 public:
  explicit record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")) {}
  ~record() {
    if (file_) std::fclose(file_);
  }
  record(const record&) = delete;

  void Line(const std::string& text) {
    if (!file_) return;
    std::fprintf(file_, "%8.3f %s\n", static_cast<double>(Now()) / 1000,
                 text.c_str());
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
};

}  // namespace world

#pragma once

#include <cstdint>
#include <streambuf>
#include <string>

namespace radishwing {

/// A stream buffer that writes whole lines to a file descriptor without
/// blocking. A line that the descriptor cannot accept at once is dropped and
/// counted. Not thread-safe.
class line_streambuf : public std::streambuf {
 public:
  /// `fd` must stay open while this object exists.
  explicit line_streambuf(int fd) : fd_(fd) {}

  /// Number of lines dropped so far because the reader did not keep up.
  std::uint64_t Dropped() const { return dropped_; }

 protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;

 private:
  void Append(char c);
  /// Writes the current line, or drops it if that would block.
  void FlushLine();

  int fd_;
  std::string line_;
  std::uint64_t dropped_ = 0;
};

}  // namespace radishwing

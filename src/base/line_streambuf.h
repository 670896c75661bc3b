#pragma once

#include <cstdint>
#include <streambuf>
#include <string>

namespace radishwing {

/// A stream buffer that writes whole lines to a file descriptor without
/// blocking. It truncates a line that is longer than PIPE_BUF, and drops and
/// counts a line that the descriptor cannot accept at once. Not thread-safe.
class line_streambuf : public std::streambuf {
 public:
  /// `fd` must stay open while this object exists.
  explicit line_streambuf(int fd) : fd_(fd) {}

  /// Number of lines dropped so far because the reader did not keep up.
  std::uint64_t DroppedLines() const { return dropped_lines_; }

 protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;

 private:
  /// Adds `c` to the current line. A line feed completes and flushes the line.
  void Append(char c);
  /// Writes the current line, or drops it if that would block.
  void FlushLine();

  int fd_;
  std::string current_line_;  ///< Text since the last line feed.
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace radishwing

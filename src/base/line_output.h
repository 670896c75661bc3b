#pragma once

#include <cstdint>
#include <streambuf>
#include <string>

namespace radishwing {

/// A stream buffer that writes whole lines to a file descriptor and never
/// waits: a line that the reader has no room for is dropped and counted. Used
/// by one thread at a time.
class line_output : public std::streambuf {
 public:
  /// `fd` stays open as long as this object.
  explicit line_output(int fd) : fd_(fd) {}

  /// Lines dropped so far because the reader did not read.
  std::uint64_t Dropped() const { return dropped_; }

 protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;

 private:
  void Append(char c);
  void WriteLine();

  int fd_;
  std::string line_;
  std::uint64_t dropped_ = 0;
};

}  // namespace radishwing

#include "src/base/line_streambuf.h"

#include <poll.h>
#include <unistd.h>

namespace radishwing {
namespace {

// PIPE_BUF on Linux: a pipe that poll() reports as writable accepts this many
// bytes without blocking. Longer lines are truncated.
constexpr std::size_t kMaxLineBytes = 4096;

}  // namespace

void line_streambuf::FlushLine() {
  pollfd ready{fd_, POLLOUT, 0};
  const bool writable =
      ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
  if (!writable || ::write(fd_, current_line_.data(), current_line_.size()) < 0)
    ++dropped_lines_;
  current_line_.clear();
}

void line_streambuf::Append(char c) {
  if (current_line_.size() + 1 < kMaxLineBytes || c == '\n') current_line_ += c;
  if (c == '\n') FlushLine();
}

line_streambuf::int_type line_streambuf::overflow(int_type c) {
  if (!traits_type::eq_int_type(c, traits_type::eof())) {
    Append(traits_type::to_char_type(c));
  }
  return traits_type::not_eof(c);
}

std::streamsize line_streambuf::xsputn(const char* text, std::streamsize size) {
  for (std::streamsize i = 0; i < size; ++i) Append(text[i]);
  return size;
}

}  // namespace radishwing

#include "src/base/line_streambuf.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace radishwing {
namespace {

struct line_streambuf_fixture {
  line_streambuf_fixture() { BOOST_REQUIRE(::pipe(pipe_fds) == 0); }
  ~line_streambuf_fixture() {
    ::close(pipe_fds[0]);
    ::close(pipe_fds[1]);
  }

  int pipe_fds[2] = {-1, -1};
};

BOOST_FIXTURE_TEST_SUITE(line_streambuf_pipe, line_streambuf_fixture)

BOOST_AUTO_TEST_CASE(line_is_written_completely) {
  line_streambuf subject(pipe_fds[1]);
  std::ostream stream(&subject);
  stream << "part: sentence, n=" << 7 << '\n';
  char text[64] = {};
  const auto bytes_read = ::read(pipe_fds[0], text, sizeof(text));
  BOOST_TEST(std::string(text, static_cast<std::size_t>(bytes_read)) ==
             "part: sentence, n=7\n");
  BOOST_TEST(subject.DroppedLines() == 0u);
}

// A full pipe must not block the writer: otherwise a node hangs when nothing
// reads its log.
BOOST_AUTO_TEST_CASE(full_pipe_does_not_block_writer) {
  line_streambuf subject(pipe_fds[1]);
  std::ostream stream(&subject);
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) stream << line << '\n';
  BOOST_TEST(subject.DroppedLines() > 0u);
  BOOST_TEST(stream.good());
}

// Writing a line longer than PIPE_BUF could block even if poll() reports that
// the pipe is writable.
BOOST_AUTO_TEST_CASE(long_line_is_truncated) {
  line_streambuf subject(pipe_fds[1]);
  std::ostream stream(&subject);
  stream << std::string(100000, 'y') << '\n';
  char text[8192] = {};
  const auto bytes_read = ::read(pipe_fds[0], text, sizeof(text));
  BOOST_TEST(bytes_read <= 4097);
  BOOST_TEST(text[bytes_read - 1] == '\n');
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing

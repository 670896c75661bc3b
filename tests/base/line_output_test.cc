#include "src/base/line_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace radishwing {
namespace {

struct line_output_fixture {
  line_output_fixture() { BOOST_REQUIRE(::pipe(ends) == 0); }
  ~line_output_fixture() {
    ::close(ends[0]);
    ::close(ends[1]);
  }

  int ends[2] = {-1, -1};
};

BOOST_FIXTURE_TEST_SUITE(line_output_pipe, line_output_fixture)

BOOST_AUTO_TEST_CASE(line_written_arrives_whole) {
  line_output subject(ends[1]);
  std::ostream stream(&subject);
  stream << "part: sentence, n=" << 7 << '\n';
  char text[64] = {};
  const auto got = ::read(ends[0], text, sizeof(text));
  BOOST_TEST(std::string(text, static_cast<std::size_t>(got)) ==
             "part: sentence, n=7\n");
  BOOST_TEST(subject.Dropped() == 0u);
}

// Guards against a daemon that stops because nobody reads its log.
BOOST_AUTO_TEST_CASE(reader_that_does_not_read_stops_nothing) {
  line_output subject(ends[1]);
  std::ostream stream(&subject);
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) stream << line << '\n';
  BOOST_TEST(subject.Dropped() > 0u);
  BOOST_TEST(stream.good());
}

// Guards against a line that is longer than what a pipe takes at once.
BOOST_AUTO_TEST_CASE(long_line_is_cut) {
  line_output subject(ends[1]);
  std::ostream stream(&subject);
  stream << std::string(100000, 'y') << '\n';
  char text[8192] = {};
  const auto got = ::read(ends[0], text, sizeof(text));
  BOOST_TEST(got <= 4097);
  BOOST_TEST(text[got - 1] == '\n');
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/entry/entry_fixture.h"

namespace radishwing::entry {
namespace {

// Guards against a response that is altered, truncated or not streamed.
BOOST_FIXTURE_TEST_CASE(request_path_bodies_pass_unchanged, entry_fixture) {
  Start(1);
  http_answer small = Send("GET", "/sums/x?bytes=10");
  BOOST_TEST(small.status == 200u);
  BOOST_TEST(small.body == std::string(10, 'x'));
  std::string body;
  for (int i = 0; body.size() < 3000000; ++i) body += std::to_string(i);
  for (const char* target : {"/sums/x?echo=1", "/sums/x?echo=1&chunked=1"}) {
    http_answer echo = Send("POST", target, {}, body);
    BOOST_TEST(echo.status == 200u);
    BOOST_TEST((echo.body == body));
  }
  BOOST_TEST(runners[0]->Records()[0].team == "uva");
}

}  // namespace
}  // namespace radishwing::entry

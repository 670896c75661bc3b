#include "src/node/contained_run.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "tests/node/node_fixture.h"

namespace radishwing::node {
namespace {

using boost::beast::http::verb;

BOOST_AUTO_TEST_SUITE(contained_run)

BOOST_AUTO_TEST_CASE(handlers_after_a_throwing_handler_run) {
  boost::asio::io_context io{1};
  std::vector<std::string> errors;
  bool reached = false;
  boost::asio::post(io, [] { throw std::runtime_error("malformed"); });
  boost::asio::post(io, [] { throw 1; });
  boost::asio::post(io, [&] { reached = true; });
  RunContained(io, [&](std::string_view e) { errors.emplace_back(e); });
  const std::vector<std::string> expected = {"malformed", "unknown exception"};
  BOOST_TEST(errors == expected, boost::test_tools::per_element());
  BOOST_TEST(reached);
}

// The state of a leader is suspect after an error in one of its handlers. The
// node must lead again with state from the store, and must finish the job.
BOOST_FIXTURE_TEST_CASE(leader_with_an_error_gives_its_term_up, node_fixture) {
  const std::string address = AddNode("n1");
  BOOST_REQUIRE(
      CallUntil(address, verb::post, "/q/00000000000000a1", 200, JobBody(6)));
  const std::string first_term = store.Value("rw/term/0");
  nodes["n1"]->RecoverFromError("test");
  BOOST_TEST(RunUntil([&] {
    return LeaderName() == "n1" &&
           store.Value("rw/term/0").find("\"resigned\":false") !=
               std::string::npos &&
           store.Value("rw/term/0") != first_term;
  }));
  BOOST_TEST(WaitForState(address, "00000000000000a1", "succeeded"));
  BOOST_TEST(recorder.DuplicatedTaskCount() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

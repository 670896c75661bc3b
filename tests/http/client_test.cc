#include "src/http/client.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "src/http/target.h"
#include "tests/http/http_fixture.h"

namespace radishwing::http {
namespace {

using boost::beast::http::verb;

// Guards against a new connection for each request.
BOOST_FIXTURE_TEST_CASE(http_client_reuses_connection, http_fixture) {
  Serve();
  for (int i = 0; i < 3; ++i) BOOST_TEST(Ok(Call({})));
  BOOST_TEST(endpoint->LastConnection() == 1u);
}

// Guards against waiting for an open connection that went silent while new
// ones work, and against running an unrepeatable request twice.
BOOST_FIXTURE_TEST_CASE(http_client_silent_connection_is_replaced,
                        http_fixture) {
  std::uint64_t silent = 0;
  handler = [&](server_request request, server::responder respond) {
    server_response response;
    if (request.connection <= silent) {
      response.disposition = disposition::kSilent;
    }
    respond(response);
  };
  Serve();
  BOOST_TEST(Ok(Call({})));
  silent = endpoint->LastConnection();
  const auto outcome = Call({.method = verb::post, .deadline_ms = 30});
  BOOST_TEST((Error(outcome).kind == failure_kind::kTimeout));
  BOOST_TEST(Ok(Call({.method = verb::post})));
  silent = endpoint->LastConnection();
  BOOST_TEST(Ok(Call({.repeatable = true, .attempt_ms = 30})));
  BOOST_TEST(handled == 5);
}

// Guards against "effect unknown" reported as "not done" and the reverse.
BOOST_FIXTURE_TEST_CASE(http_client_tells_not_done_from_unknown, http_fixture) {
  handler = [](server_request, server::responder respond) {
    respond({.disposition = disposition::kClose});
  };
  Serve();
  auto outcome = Call({.method = verb::post});
  BOOST_TEST((Error(outcome).kind == failure_kind::kTimeout));
  outcome = Call({.repeatable = true});
  BOOST_TEST((Error(outcome).kind == failure_kind::kTimeout));
  BOOST_TEST(handled == 4);  // 1 and 3 attempts.
  endpoint.reset();
  outcome = Call({.method = verb::post});
  BOOST_TEST((Error(outcome).kind == failure_kind::kUnavailable));
}

// Guards against unbounded waiting when every connection is in use.
BOOST_FIXTURE_TEST_CASE(http_client_busy_connections_bound_the_wait,
                        http_fixture) {
  client_limits.max_connections = 1;
  client_limits.max_waiting = 1;
  std::vector<server::responder> held;
  handler = [&](server_request, server::responder respond) {
    held.push_back(std::move(respond));
  };
  Serve();
  std::vector<std::string> order;
  const auto send = [&](const std::string& name, millis deadline) {
    caller->Send({.deadline_ms = deadline}, [&order,
                                             name](result<client_response> r) {
      order.push_back(
          name +
          (Ok(r) ? ":ok" : ":" + std::string(FailureKindName(Error(r).kind))));
    });
  };
  send("first", 5000);
  RunUntil([&] { return held.size() == 1; });
  send("second", 30);
  send("third", 5000);
  RunUntil([&] { return order.size() == 2; });
  held[0]({});
  RunUntil([&] { return order.size() == 3; });
  const std::vector<std::string> expected = {"third:full", "second:unavailable",
                                             "first:ok"};
  BOOST_TEST(order == expected, boost::test_tools::per_element());
}

// Guards against keys with special characters that reach another record.
BOOST_AUTO_TEST_CASE(http_target_escapes_round_trip) {
  const std::string key = "tokens/a b%2F?x=1&y#3";
  const auto parsed =
      ParseTarget("/v1/" + EscapePath(key) + "?prefix=" + EscapeQuery(key));
  BOOST_TEST(Value(parsed).path == "/v1/" + key);
  BOOST_TEST(Value(parsed).Param("prefix") == key);
  BOOST_TEST(!Ok(ParseTarget("/%zz")));
}

}  // namespace
}  // namespace radishwing::http

#include "platform/runner_client.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "tests/http/http_fixture.h"

namespace radishwing::platform {
namespace {

// Guards against a start order that is repeated within one call. The runner may
// carry out the first attempt late, so a refusal of the second one does not
// prove that the task is not started, and the task would run twice.
BOOST_FIXTURE_TEST_CASE(runner_client_unanswered_start_is_unknown_and_sent_once,
                        http::http_fixture) {
  handler = [&](http::server_request, http::server::responder respond) {
    if (handled_requests == 1) {
      return respond({.action = http::response_action::kCloseConnection});
    }
    respond(http::MakeErrorResponse(409, "room", "no room"));
  };
  StartServer();
  const auto subject =
      Value(runner_client::Make(io, test_server->Address(), "w"));
  std::optional<fleet::order_outcome> outcome;
  subject->Start({.task = {"00000000000000a1", 0, 0, 0}, .run = 1},
                 [&](fleet::order_outcome o) { outcome = o; });
  RunUntil([&] { return outcome.has_value(); });
  BOOST_TEST((*outcome == fleet::order_outcome::kUnknown));
  BOOST_TEST(handled_requests == 1);
}

}  // namespace
}  // namespace radishwing::platform

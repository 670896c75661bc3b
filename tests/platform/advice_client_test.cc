#include "platform/advice_client.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "src/http/server.h"

namespace radishwing::platform {
namespace {

struct advice_client_fixture {
  advice_client_fixture() {
    auto made = http::server::Make(
        io, {}, [this](const http::server_request& request, auto respond) {
          asked = request.body;
          http::server_response response;
          response.status = status;
          response.body = answer;
          respond(std::move(response));
        });
    BOOST_REQUIRE(Ok(made));
    server = std::move(Value(made));
    auto client = advice_client::Make(io, server->Address());
    BOOST_REQUIRE(Ok(client));
    subject = std::move(Value(client));
  }

  result<std::vector<fleet::runner_ticket>> Ask() {
    std::optional<result<std::vector<fleet::runner_ticket>>> got;
    subject->Ask("a.0.1", {"r1", "r2"},
                 [&](const auto& allowed) { got = allowed; });
    while (!got) io.run_one();
    return *got;
  }

  boost::asio::io_context io;
  std::unique_ptr<http::server> server;
  std::unique_ptr<advice_client> subject;
  unsigned status = 200;
  std::string answer = R"({"allowed":[["r2","t2"]]})";
  std::string asked;
};

BOOST_FIXTURE_TEST_SUITE(advice_client_call, advice_client_fixture)

BOOST_AUTO_TEST_CASE(answer_lists_allowed_runners_with_tickets) {
  const auto allowed = Ask();
  BOOST_REQUIRE(Ok(allowed));
  BOOST_REQUIRE_EQUAL(Value(allowed).size(), 1u);
  BOOST_TEST(Value(allowed)[0].runner == "r2");
  BOOST_TEST(Value(allowed)[0].text == "t2");
  BOOST_TEST(asked == R"({"step":"a.0.1","workers":["r1","r2"]})");
}

BOOST_AUTO_TEST_CASE(busy_service_is_an_error) {
  status = 429;
  BOOST_TEST(!Ok(Ask()));
}

BOOST_AUTO_TEST_CASE(unreadable_answer_is_an_error) {
  answer = "[";
  BOOST_TEST(!Ok(Ask()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::platform

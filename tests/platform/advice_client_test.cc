#include "platform/advice_client.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "src/http/server.h"

namespace radishwing::platform {
namespace {

struct advice_client_fixture {
  advice_client_fixture() {
    auto server_result = http::server::Make(
        io, {}, [this](const http::server_request& request, auto respond) {
          request_body = request.body;
          http::server_response response;
          response.status = status;
          response.body = response_body;
          respond(std::move(response));
        });
    BOOST_REQUIRE(Ok(server_result));
    server = std::move(Value(server_result));
    auto client_result = advice_client::Make(io, server->Address());
    BOOST_REQUIRE(Ok(client_result));
    subject = std::move(Value(client_result));
  }

  result<std::vector<fleet::runner_ticket>> RequestAdvice() {
    std::optional<result<std::vector<fleet::runner_ticket>>> tickets;
    subject->RequestAdvice("a.0.1", {"r1", "r2"}, 5000,
                           [&](const auto& response) { tickets = response; });
    while (!tickets) io.run_one();
    return *tickets;
  }

  boost::asio::io_context io;
  std::unique_ptr<http::server> server;
  std::unique_ptr<advice_client> subject;
  unsigned status = 200;
  std::string response_body = R"({"allowed":[["r2","t2"]]})";
  std::string request_body;
};

BOOST_FIXTURE_TEST_SUITE(advice_client_call, advice_client_fixture)

BOOST_AUTO_TEST_CASE(response_lists_allowed_runners_with_tickets) {
  const auto tickets = RequestAdvice();
  BOOST_REQUIRE(Ok(tickets));
  BOOST_REQUIRE_EQUAL(Value(tickets).size(), 1u);
  BOOST_TEST(Value(tickets)[0].runner == "r2");
  BOOST_TEST(Value(tickets)[0].text == "t2");
  BOOST_TEST(request_body == R"({"step":"a.0.1","workers":["r1","r2"]})");
}

BOOST_AUTO_TEST_CASE(overloaded_service_is_an_error) {
  status = 429;
  BOOST_TEST(!Ok(RequestAdvice()));
}

BOOST_AUTO_TEST_CASE(malformed_response_is_an_error) {
  response_body = "[";
  BOOST_TEST(!Ok(RequestAdvice()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::platform

#include "src/http/client.h"

#define BOOST_TEST_DYN_LINK
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "src/http/target.h"
#include "tests/http/http_fixture.h"

namespace radishwing::http {
namespace {

using boost::beast::http::verb;

// Guards against opening a new connection for each request.
BOOST_FIXTURE_TEST_CASE(http_client_reuses_connection, http_fixture) {
  StartServer();
  for (int i = 0; i < 3; ++i) BOOST_TEST(Ok(SendRequest({})));
  BOOST_TEST(test_server->LastConnectionId() == 1u);
}

// Guards against reusing a connection on which the server no longer responds,
// and against sending a non-idempotent request twice.
BOOST_FIXTURE_TEST_CASE(http_client_unresponsive_connection_is_replaced,
                        http_fixture) {
  std::uint64_t last_unresponsive_id = 0;
  handler = [&](server_request request, server::responder respond) {
    server_response response;
    if (request.connection_id <= last_unresponsive_id) {
      response.action = response_action::kNeverRespond;
    }
    respond(response);
  };
  StartServer();
  BOOST_TEST(Ok(SendRequest({})));
  last_unresponsive_id = test_server->LastConnectionId();
  const auto outcome =
      SendRequest({.method = verb::post, .total_timeout_ms = 30});
  BOOST_TEST((Error(outcome).kind == failure_kind::kTimeout));
  BOOST_TEST(Ok(SendRequest({.method = verb::post})));
  last_unresponsive_id = test_server->LastConnectionId();
  BOOST_TEST(Ok(SendRequest({.idempotent = true, .attempt_timeout_ms = 30})));
  BOOST_TEST(handled_requests == 5);
}

// Guards against abandoning a response that is still arriving, because it is
// larger than what a slow link carries within the time limit.
BOOST_FIXTURE_TEST_CASE(http_client_response_that_makes_progress_is_awaited,
                        http_fixture) {
  boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  boost::asio::ip::tcp::socket peer(io);
  constexpr int kFirstByteMs = 500;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab";
  boost::asio::steady_timer second_part(io);
  acceptor.async_accept(peer, [&](boost::system::error_code) {
    boost::asio::write(peer, boost::asio::buffer(head));
    second_part.expires_after(std::chrono::milliseconds(kFirstByteMs + 50));
    second_part.async_wait([&](boost::system::error_code) {
      boost::asio::write(peer, boost::asio::buffer("cd", 2));
    });
  });
  test_client_options.address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  test_client = Value(client::Make(io, test_client_options));
  const auto outcome = SendRequest(
      {.total_timeout_ms = kFirstByteMs, .progress_timeout_ms = 15000});
  BOOST_REQUIRE(Ok(outcome));
  BOOST_TEST(Value(outcome).body == "abcd");
}

// Guards against giving up requests that wait behind other traffic on the link,
// and against waiting for them without end.
BOOST_FIXTURE_TEST_CASE(http_client_waits_longer_while_the_link_is_congested,
                        http_fixture) {
  constexpr millis kFirstByteMs = 300;
  std::vector<server::responder> held;
  handler = [&](server_request, server::responder respond) {
    held.push_back(std::move(respond));
  };
  test_client_options.link.is_congested = [] { return true; };
  StartServer();
  boost::asio::steady_timer later(io);
  later.expires_after(std::chrono::milliseconds(kFirstByteMs + 50));
  later.async_wait([&](boost::system::error_code) { held.front()({}); });
  const client_request request{.total_timeout_ms = kFirstByteMs,
                               .progress_timeout_ms = kFirstByteMs};
  BOOST_TEST(Ok(SendRequest(request)));
  const auto unanswered = SendRequest(request);
  BOOST_REQUIRE(!Ok(unanswered));
  BOOST_TEST((Error(unanswered).kind == failure_kind::kTimeout));
}

// A response that stops in the middle must end the request.
BOOST_FIXTURE_TEST_CASE(http_client_response_that_stops_ends_with_a_timeout,
                        http_fixture) {
  boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  boost::asio::ip::tcp::socket peer(io);
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab";
  acceptor.async_accept(peer, [&](boost::system::error_code) {
    boost::asio::write(peer, boost::asio::buffer(head));
  });
  test_client_options.address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  test_client = Value(client::Make(io, test_client_options));
  const auto outcome =
      SendRequest({.total_timeout_ms = 15000, .progress_timeout_ms = 50});
  BOOST_REQUIRE(!Ok(outcome));
  BOOST_TEST((Error(outcome).kind == failure_kind::kTimeout));
  BOOST_TEST(Error(outcome).message.ends_with("received_bytes=40"));
}

// A request that the server may have executed must be reported as kTimeout. A
// request that was not sent must be reported as kUnavailable.
BOOST_FIXTURE_TEST_CASE(http_client_distinguishes_unsent_from_unknown,
                        http_fixture) {
  handler = [](server_request, server::responder respond) {
    respond({.action = response_action::kCloseConnection});
  };
  StartServer();
  auto outcome = SendRequest({.method = verb::post});
  BOOST_TEST((Error(outcome).kind == failure_kind::kTimeout));
  outcome = SendRequest({.idempotent = true});
  BOOST_TEST((Error(outcome).kind == failure_kind::kTimeout));
  // 1 attempt of the POST request and 3 attempts of the GET request.
  BOOST_TEST(handled_requests == 4);
  test_server.reset();
  outcome = SendRequest({.method = verb::post});
  BOOST_TEST((Error(outcome).kind == failure_kind::kUnavailable));
}

// Guards against a queue without a length or time limit when every connection
// is in use.
BOOST_FIXTURE_TEST_CASE(http_client_limits_queue_when_connections_are_busy,
                        http_fixture) {
  test_client_options.max_connections = 1;
  test_client_options.max_queued_requests = 1;
  std::vector<server::responder> pending_responders;
  handler = [&](server_request, server::responder respond) {
    pending_responders.push_back(std::move(respond));
  };
  StartServer();
  std::vector<std::string> completion_order;
  const auto send = [&](const std::string& name, millis deadline) {
    test_client->Send(
        {.total_timeout_ms = deadline},
        [&completion_order, name](result<client_response> r) {
          completion_order.push_back(
              name + (Ok(r)
                          ? ":ok"
                          : ":" + std::string(FailureKindName(Error(r).kind))));
        });
  };
  send("first", 5000);
  RunUntil([&] { return pending_responders.size() == 1; });
  send("second", 30);
  send("third", 5000);
  RunUntil([&] { return completion_order.size() == 2; });
  pending_responders[0]({});
  RunUntil([&] { return completion_order.size() == 3; });
  const std::vector<std::string> expected = {"third:full", "second:unavailable",
                                             "first:ok"};
  BOOST_TEST(completion_order == expected, boost::test_tools::per_element());
}

// Guards against an order that waits for a connection, or in a paused process,
// and is sent after the sender's permission has ended.
BOOST_FIXTURE_TEST_CASE(http_client_queued_request_without_permission_is_unsent,
                        http_fixture) {
  test_client_options.max_connections = 1;
  std::vector<server::responder> pending_responders;
  handler = [&](server_request, server::responder respond) {
    pending_responders.push_back(std::move(respond));
  };
  StartServer();
  bool permitted = true;
  std::vector<result<client_response>> outcomes;
  for (int i = 0; i < 2; ++i) {
    test_client->Send(
        {.method = verb::post, .still_permitted = [&] { return permitted; }},
        [&](result<client_response> r) { outcomes.push_back(std::move(r)); });
  }
  RunUntil([&] { return pending_responders.size() == 1; });
  permitted = false;
  pending_responders[0]({});
  RunUntil([&] { return outcomes.size() == 2 || handled_requests == 2; });
  BOOST_TEST(handled_requests == 1);
  BOOST_REQUIRE(outcomes.size() == 2);
  BOOST_TEST(Ok(outcomes[0]));
  BOOST_TEST((Error(outcomes[1]).kind == failure_kind::kUnavailable));
}

// Guards against a request that a network partition holds back in the sender's
// socket and delivers after the sender has given it up. A reset discards it.
BOOST_FIXTURE_TEST_CASE(http_client_abandoned_request_resets_its_connection,
                        http_fixture) {
  using boost::asio::ip::tcp;
  tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket accepted(io);
  std::array<char, 4096> received;
  boost::system::error_code end_of_connection;
  std::function<void(boost::system::error_code, std::size_t)> on_read =
      [&](boost::system::error_code error, std::size_t) {
        end_of_connection = error;
        if (!error) {
          accepted.async_read_some(boost::asio::buffer(received), on_read);
        }
      };
  acceptor.async_accept(accepted, [&](boost::system::error_code) {
    accepted.async_read_some(boost::asio::buffer(received), on_read);
  });
  test_client_options.address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  test_client = Value(client::Make(io, test_client_options));
  const auto outcome =
      SendRequest({.method = verb::post, .total_timeout_ms = 30});
  BOOST_TEST((Error(outcome).kind == failure_kind::kTimeout));
  RunUntil([&] { return end_of_connection.failed(); });
  BOOST_TEST(end_of_connection == boost::asio::error::connection_reset);
}

// Guards against a request that must reach a process known to the sender, but
// is sent on a new connection, which may lead to another one.
BOOST_FIXTURE_TEST_CASE(http_client_limited_request_uses_only_known_connections,
                        http_fixture) {
  StartServer();
  client_request limited{.max_connection = 1};
  const auto before = SendRequest(limited);
  BOOST_TEST((Error(before).kind == failure_kind::kUnavailable));
  BOOST_TEST(handled_requests == 0);
  BOOST_REQUIRE(Ok(SendRequest({})));
  BOOST_TEST(test_client->EstablishedConnections() == 1u);
  const auto response = SendRequest(limited);
  BOOST_REQUIRE(Ok(response));
  BOOST_TEST(Value(response).connection == 1u);
  limited.max_connection = 0;
  BOOST_TEST(!Ok(SendRequest(limited)));
  BOOST_TEST(test_client->OpenConnections() == 1u);
}

// Guards against a key with special characters that the server decodes as a
// different key.
BOOST_AUTO_TEST_CASE(http_target_escapes_round_trip) {
  const std::string key = "tokens/a b%2F?x=1&y#3";
  const auto parsed = ParseTarget("/v1/" + PercentEncodePath(key) +
                                  "?prefix=" + PercentEncodeQueryValue(key));
  BOOST_TEST(Value(parsed).path == "/v1/" + key);
  BOOST_TEST(Value(parsed).QueryParameter("prefix") == key);
  BOOST_TEST(!Ok(ParseTarget("/%zz")));
}

}  // namespace
}  // namespace radishwing::http

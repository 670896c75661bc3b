#include "src/http/server.h"

#define BOOST_TEST_DYN_LINK
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "src/http/address.h"
#include "tests/http/http_fixture.h"

namespace radishwing::http {
namespace {

// Sends raw bytes and returns everything that the server sends until it closes
// the connection.
std::string SendRaw(http_fixture& f, std::string_view bytes) {
  boost::asio::ip::tcp::socket socket(f.io);
  const auto endpoint = ParseAddress(f.test_server->Address());
  socket.connect(Value(endpoint));
  std::string response;
  bool closed = false;
  boost::asio::async_write(socket, boost::asio::buffer(bytes),
                           [](boost::system::error_code, std::size_t) {});
  boost::asio::async_read(
      socket, boost::asio::dynamic_buffer(response),
      [&](boost::system::error_code, std::size_t) { closed = true; });
  f.RunUntil([&] { return closed; });
  return response;
}

// Guards against a server that hangs or crashes on a malformed request.
BOOST_FIXTURE_TEST_CASE(http_server_malformed_gets_400, http_fixture) {
  StartServer();
  BOOST_TEST(SendRaw(*this, "BLURB\r\n\r\n").starts_with("HTTP/1.1 400"));
  BOOST_TEST(SendRaw(*this, "GET no-slash HTTP/1.1\r\nHost: a\r\n\r\n")
                 .starts_with("HTTP/1.1 400"));
}

// Guards against executing a request with an unsupported transfer coding. The
// server cannot tell where the body of such a request ends and the next request
// begins.
BOOST_FIXTURE_TEST_CASE(http_server_unknown_coding_gets_501, http_fixture) {
  StartServer();
  for (const char* coding :
       {"xchunked", "gzip, chunked", "chunked, identity"}) {
    const std::string request =
        "POST / HTTP/1.1\r\nTransfer-Encoding: " + std::string(coding) +
        "\r\n\r\n";
    const std::string response = SendRaw(*this, request);
    BOOST_TEST_CONTEXT(coding) {
      BOOST_TEST((response.starts_with("HTTP/1.1 501") ||
                  response.starts_with("HTTP/1.1 400")));
    }
  }
  BOOST_TEST(handled_requests == 0);
}

// Guards against unbounded memory use for a header or a body.
BOOST_FIXTURE_TEST_CASE(http_server_oversize_gets_431_and_413, http_fixture) {
  test_server_options.max_body_bytes = 100;
  StartServer();
  const std::string header =
      "GET / HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n";
  BOOST_TEST(SendRaw(*this, header).starts_with("HTTP/1.1 431"));
  const std::string body = "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" +
                           std::string(5000, 'x');
  BOOST_TEST(SendRaw(*this, body).starts_with("HTTP/1.1 413"));
  BOOST_TEST(handled_requests == 0);
}

// Guards against clients that hold connections open without ever completing a
// request.
BOOST_FIXTURE_TEST_CASE(http_server_slow_sender_gets_408, http_fixture) {
  test_server_options.header_timeout_ms = 20;
  test_server_options.body_timeout_ms = 20;
  StartServer();
  BOOST_TEST(
      SendRaw(*this, "GET / HTTP/1.1\r\nA:").starts_with("HTTP/1.1 408"));
  BOOST_TEST(SendRaw(*this, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
                 .starts_with("HTTP/1.1 408"));
  BOOST_TEST(SendRaw(*this, "").empty());
}

// Guards against an invalid memory access when a responder is called after the
// server is destroyed.
BOOST_FIXTURE_TEST_CASE(http_server_ignores_late_responder, http_fixture) {
  server::responder saved_responder;
  handler = [&](server_request, server::responder respond) {
    saved_responder = respond;
  };
  StartServer();
  const auto outcome = SendRequest({.total_timeout_ms = 5000}, [&] {
    if (saved_responder && test_server) test_server.reset();
  });
  BOOST_TEST((Error(outcome).kind == failure_kind::kTimeout));
  saved_responder({});
}

// Guards against a Drain that closes a connection before the server has sent
// the response to the current request.
BOOST_FIXTURE_TEST_CASE(http_server_drain_completes_in_flight, http_fixture) {
  server::responder saved_responder;
  handler = [&](server_request, server::responder respond) {
    saved_responder = respond;
  };
  StartServer();
  const auto outcome = SendRequest({.total_timeout_ms = 5000}, [&] {
    if (!saved_responder) return;
    test_server->Drain();
    std::exchange(saved_responder, nullptr)({});
  });
  BOOST_TEST(Value(outcome).status == 200u);
  RunUntil([&] { return test_server->OpenConnections() == 0; });
}

}  // namespace
}  // namespace radishwing::http

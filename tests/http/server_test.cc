#include "src/http/server.h"

#define BOOST_TEST_DYN_LINK
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "src/http/address.h"
#include "tests/http/http_fixture.h"

namespace radishwing::http {
namespace {

// Sends raw bytes and returns everything up to the server's close.
std::string Converse(http_fixture& f, std::string_view bytes) {
  boost::asio::ip::tcp::socket socket(f.io);
  const auto endpoint = ParseAddress(f.endpoint->Address());
  socket.connect(Value(endpoint));
  std::string answer;
  bool closed = false;
  boost::asio::async_write(socket, boost::asio::buffer(bytes),
                           [](boost::system::error_code, std::size_t) {});
  boost::asio::async_read(
      socket, boost::asio::dynamic_buffer(answer),
      [&](boost::system::error_code, std::size_t) { closed = true; });
  f.RunUntil([&] { return closed; });
  return answer;
}

// Guards against a malformed request that hangs or kills the server.
BOOST_FIXTURE_TEST_CASE(http_server_malformed_gets_400, http_fixture) {
  Serve();
  BOOST_TEST(Converse(*this, "BLURB\r\n\r\n").starts_with("HTTP/1.1 400"));
  BOOST_TEST(Converse(*this, "GET no-slash HTTP/1.1\r\nHost: a\r\n\r\n")
                 .starts_with("HTTP/1.1 400"));
}

// Guards against serving a request whose body cannot be told from the next
// request, because its transfer coding is not understood.
BOOST_FIXTURE_TEST_CASE(http_server_unknown_coding_gets_501, http_fixture) {
  Serve();
  for (const char* coding :
       {"xchunked", "gzip, chunked", "chunked, identity"}) {
    const std::string request =
        "POST / HTTP/1.1\r\nTransfer-Encoding: " + std::string(coding) +
        "\r\n\r\n";
    const std::string answer = Converse(*this, request);
    BOOST_TEST_CONTEXT(coding) {
      BOOST_TEST((answer.starts_with("HTTP/1.1 501") ||
                  answer.starts_with("HTTP/1.1 400")));
    }
  }
  BOOST_TEST(handled == 0);
}

// Guards against unbounded memory for a header or a body.
BOOST_FIXTURE_TEST_CASE(http_server_oversize_gets_431_and_413, http_fixture) {
  options.max_body_bytes = 100;
  Serve();
  const std::string header =
      "GET / HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n";
  BOOST_TEST(Converse(*this, header).starts_with("HTTP/1.1 431"));
  const std::string body = "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" +
                           std::string(5000, 'x');
  BOOST_TEST(Converse(*this, body).starts_with("HTTP/1.1 413"));
  BOOST_TEST(handled == 0);
}

// Guards against connections held open by senders that never finish.
BOOST_FIXTURE_TEST_CASE(http_server_slow_sender_gets_408, http_fixture) {
  options.header_ms = 20;
  options.body_ms = 20;
  Serve();
  BOOST_TEST(
      Converse(*this, "GET / HTTP/1.1\r\nA:").starts_with("HTTP/1.1 408"));
  BOOST_TEST(Converse(*this, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
                 .starts_with("HTTP/1.1 408"));
  BOOST_TEST(Converse(*this, "").empty());
}

// Guards against a responder that outlives its server.
BOOST_FIXTURE_TEST_CASE(http_server_late_responder_is_harmless, http_fixture) {
  server::responder kept;
  handler = [&](server_request, server::responder respond) { kept = respond; };
  Serve();
  const auto outcome = Call({.deadline_ms = 5000}, [&] {
    if (kept && endpoint) endpoint.reset();
  });
  BOOST_TEST((Error(outcome).kind == failure_kind::kTimeout));
  kept({});
}

// Guards against a planned stop that interrupts a request.
BOOST_FIXTURE_TEST_CASE(http_server_drain_completes_in_flight, http_fixture) {
  server::responder kept;
  handler = [&](server_request, server::responder respond) { kept = respond; };
  Serve();
  const auto outcome = Call({.deadline_ms = 5000}, [&] {
    if (!kept) return;
    endpoint->Drain();
    std::exchange(kept, nullptr)({});
  });
  BOOST_TEST(Value(outcome).status == 200u);
  RunUntil([&] { return endpoint->Connections() == 0; });
}

}  // namespace
}  // namespace radishwing::http

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

constexpr const char* kKey = "Authorization: Bearer key-uva\r\n";

// Guards against chunks that are merged wrongly or lost on the way.
BOOST_FIXTURE_TEST_CASE(request_path_chunked_upload_passes_unchanged,
                        entry_fixture) {
  Start(1);
  std::string body;
  std::string chunks;
  for (std::size_t size : {1u, 70000u, 13u, 65536u, 40000u}) {
    std::string part(size, static_cast<char>('a' + size % 26));
    body += part;
    char line[16];
    std::snprintf(line, sizeof line, "%zx\r\n", size);
    chunks += line + part + "\r\n";
  }
  http_caller caller = Caller();
  for (const char* end : {"0\r\n\r\n", "0\r\nTrailer: x\r\n\r\n"}) {
    caller.SendRaw(std::string("POST /sums/x?echo=1 HTTP/1.1\r\n") + kKey +
                   "Transfer-Encoding: chunked\r\n\r\n" + chunks + end);
    http_answer echo = caller.Receive();
    BOOST_TEST(echo.status == 200u);
    BOOST_TEST((echo.body == body));
  }
}

// Guards against a connection that is left in a wrong state by HEAD,
// Expect: 100-continue, requests sent ahead, or HTTP/1.0.
BOOST_FIXTURE_TEST_CASE(request_path_protocol_variants, entry_fixture) {
  Start(1);
  http_caller caller = Caller();
  caller.SendRaw(std::string("HEAD /sums/x?bytes=5 HTTP/1.1\r\n") + kKey +
                 "\r\n");
  http_answer head = caller.Receive(true);
  BOOST_TEST(head.headers["Content-Length"] == "5");
  caller.SendRaw(std::string("POST /sums/x?echo=1 HTTP/1.1\r\n") + kKey +
                 "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  BOOST_TEST(caller.Receive().status == 100u);
  caller.SendRaw("hi");
  BOOST_TEST(caller.Receive().body == "hi");
  std::string ahead;
  for (int i = 0; i < 3; ++i) {
    ahead +=
        "GET /sums/x HTTP/1.1\r\nRadishwing-Idempotent: true\r\n"
        "Radishwing-Request-Id: a" +
        std::to_string(i) + "\r\n" + kKey + "\r\n";
  }
  caller.SendRaw(ahead);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(caller.Receive().body == "ok a" + std::to_string(i) + "\n");
  }
  caller.SendRaw(std::string("GET /sums/x?bytes=9&chunked=1 HTTP/1.0\r\n") +
                 kKey + "\r\n");
  http_answer old = caller.Receive();
  BOOST_TEST(old.body == std::string(9, 'x'));
  BOOST_TEST(old.headers["Connection"] == "close");
}

}  // namespace
}  // namespace radishwing::entry

#define BOOST_TEST_DYN_LINK
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "src/base/sha256.h"
#include "src/http/address.h"
#include "tests/control/test_fleet.h"

namespace radishwing::control {
namespace {

namespace asio = boost::asio;
constexpr auto Eventually = test_fleet::Eventually;

// Guards against a control that is killed and stays alive for the others, and
// against its replacement being taken for the dead one.
BOOST_FIXTURE_TEST_CASE(peer_mesh_killed_member_fails_and_returns, test_fleet) {
  Start("host-one", "ams");
  Start("host-two", "ams");
  Start("host-three", "rtm");
  auto all_alive = [&] {
    return Sees("host-one", "host-three") == "alive" &&
           Sees("host-three", "host-two") == "alive" &&
           Sees("host-two", "host-one") == "alive";
  };
  BOOST_REQUIRE(Eventually(all_alive));
  Kill("host-three");
  BOOST_TEST(
      Eventually([&] { return Sees("host-one", "host-three") == "failed"; }));
  BOOST_TEST(Sees("host-one", "host-two") == "alive");
  Start("host-three", "rtm");
  BOOST_TEST(Eventually(all_alive));
}

// Guards against waiting for a connection that fell silent without an error.
BOOST_FIXTURE_TEST_CASE(peer_mesh_silent_link_is_replaced, test_fleet) {
  Start("host-one", "ams");
  Start("host-two", "ams");
  auto both = [&](const char* state) {
    return Eventually([&] {
      return Sees("host-one", "host-two") == state &&
             Sees("host-two", "host-one") == state;
    });
  };
  BOOST_REQUIRE(both("alive"));
  network.Isolate("host-two");
  BOOST_TEST(both("failed"));
  // The old connections stay silent for good; only new ones work.
  network.Join("host-two");
  BOOST_TEST(both("alive"));
}

// Guards against a process without the fleet secret that joins, or from which
// anything is learned.
BOOST_FIXTURE_TEST_CASE(peer_mesh_wrong_secret_is_refused_both_ways,
                        test_fleet) {
  Start("host-one", "ams");
  Publish(4);
  BOOST_REQUIRE(Eventually([&] { return Revision("host-one") == 4; }));
  store.SetFault("host-wrong", fake_store::fault::kDown);
  Start("host-wrong", "ams", "another secret");
  Start("host-two", "ams");
  // The good control knows host-wrong's address as a first contact.
  BOOST_REQUIRE(
      Eventually([&] { return Sees("host-two", "host-one") == "alive"; }));
  BOOST_REQUIRE(Eventually([&] { return Revision("host-two") == 4; }));
  BOOST_TEST(Sees("host-one", "host-wrong") == "unknown");
  BOOST_TEST(Sees("host-two", "host-wrong") == "unknown");
  BOOST_TEST(Sees("host-wrong", "host-one") == "unknown");
  BOOST_TEST(Revision("host-wrong") == 0U);
}

// Guards against broken or hostile bytes that end the process or its
// listening, and against unused connections that are kept.
BOOST_FIXTURE_TEST_CASE(peer_mesh_garbage_on_the_port_is_harmless, test_fleet) {
  control_process& control = Start("host-one", "ams");
  auto address = http::ParseAddress(control.RpcAddress());
  asio::io_context io;
  std::string header("\x00\x00\x00\x00\x04\x00\x00\x00", 8);
  std::string huge("\xff\xff\x00\x00\xff\xff\xff\x7f", 8);
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), header + "cut", huge + huge,
        std::string(4096, '\0'), RandomHex(4096), std::string()}) {
    asio::ip::tcp::socket socket(io);
    socket.connect(Value(address));
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ignored);
    BOOST_TEST(answer.size() < 1000U);
  }
  Start("host-two", "ams");
  BOOST_TEST(
      Eventually([&] { return Sees("host-one", "host-two") == "alive"; }));
}

}  // namespace
}  // namespace radishwing::control

#include "src/control/operator_port.h"

#define BOOST_TEST_DYN_LINK
#include <boost/asio/executor_work_guard.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "src/ctl/http_transport.h"

namespace radishwing::control {
namespace {

constexpr millis kDeadlineMs = 20'000;  // Only ends a hung test.

/// An operator port on a thread of its own, called over a connection.
struct fixture {
  void Serve(operator_hooks hooks) {
    auto made = operator_port::Make(
        io, "127.0.0.1:0", settings::secret_text("operator-secret-of-the-test"),
        std::move(hooks));
    BOOST_REQUIRE(Ok(made));
    port = Value(std::move(made));
    address = port->Address();
    thread = std::thread([this] {
      io.run();
      port.reset();
    });
  }
  ~fixture() {
    io.stop();
    if (thread.joinable()) thread.join();
  }
  ctl::raw_reply Call(
      const std::string& method, const std::string& target,
      const std::string& body = "",
      const std::string& secret = "operator-secret-of-the-test") {
    auto reply = ctl::MakeHttpTransport(kDeadlineMs)(
        address, {method, target, body}, settings::secret_text(secret));
    BOOST_REQUIRE(Ok(reply));
    return Value(reply);
  }

  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      io.get_executor()};
  std::unique_ptr<operator_port> port;
  std::string address;
  std::thread thread;
};

BOOST_FIXTURE_TEST_SUITE(operator_port_tests, fixture)

// Guards against an unauthenticated path, and against the secret in an answer.
BOOST_AUTO_TEST_CASE(operator_port_wrong_secret_reaches_no_hook) {
  int calls = 0;
  operator_hooks hooks;
  hooks.status = [&](json_completion done) {
    ++calls;
    done(boost::json::object());
  };
  Serve(std::move(hooks));
  for (const char* target : {"/v1/status", "/v1/nothing", "/"}) {
    const ctl::raw_reply reply = Call("GET", target, "", "wrong");
    BOOST_TEST(reply.status == 401);
    BOOST_TEST(reply.body.find("operator-secret") == std::string::npos);
  }
  BOOST_TEST(calls == 0);
  BOOST_TEST(Call("GET", "/v1/status").status == 200);
  BOOST_TEST(calls == 1);
}

// Guards against malformed input that reaches a hook.
BOOST_AUTO_TEST_CASE(operator_port_bad_input_is_refused) {
  operator_hooks hooks;
  hooks.apply_settings = [](const settings_proposal&, const auto&) {
    BOOST_ERROR("hook was called");
  };
  hooks.order_host = [](const host_order&, const json_completion&) {
    BOOST_ERROR("hook was called");
  };
  Serve(std::move(hooks));
  BOOST_TEST(Call("POST", "/v1/settings", "{").status == 400);
  BOOST_TEST(Call("POST", "/v1/settings", "[[[[[[[[]]]]]]]]").status == 400);
  BOOST_TEST(Call("POST", "/v1/settings",
                  "{\"base_revision\":-1,\"change_id\":\"c\",\"author\":\"a\","
                  "\"text\":\"{}\"}")
                 .status == 400);
  const ctl::raw_reply findings =
      Call("POST", "/v1/settings",
           "{\"base_revision\":1,\"change_id\":\"c\",\"author\":\"a\","
           "\"text\":\"{\\n\\\"flet\\\":1}\"}");
  BOOST_TEST(findings.status == 400);
  BOOST_TEST(findings.body.find("\"line\":2,\"column\":1,\"path\":\"flet\"") !=
             std::string::npos);
  BOOST_TEST(Call("POST", "/v1/settings", std::string(1'100'000, ' ')).status ==
             413);
  BOOST_TEST(Call("POST", "/v1/hosts/a%2f..%2fb/drain", "{}").status == 404);
  BOOST_TEST(Call("POST", "/v1/hosts/a/move", "{\"change_id\":\"c\"}").status ==
             400);
  BOOST_TEST(Call("GET", "/v1/explain").status == 503);
  BOOST_TEST(Call("PATCH", "/v1/status").status == 405);
}

// Guards against answers from another thread, and against an unknown effect
// that is reported as "not done".
BOOST_AUTO_TEST_CASE(operator_port_completion_may_come_from_any_thread) {
  operator_hooks hooks;
  std::thread other;
  hooks.order_host = [&](const host_order& order, json_completion done) {
    BOOST_TEST((order.action == host_order::verb::kMove));
    other = std::thread([done, pool = order.pool] {
      done(failure{failure_kind::kTimeout, "store silent, pool=" + pool});
    });
  };
  Serve(std::move(hooks));
  const ctl::raw_reply reply = Call("POST", "/v1/hosts/h1/move",
                                    "{\"change_id\":\"c\",\"pool\":\"gpu\"}");
  other.join();
  BOOST_TEST(reply.status == 504);
  BOOST_TEST(reply.body ==
             "{\"reason\":\"timeout\",\"message\":\"store silent, "
             "pool=gpu\"}");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::control

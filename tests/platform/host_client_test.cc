#include "platform/host_client.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "src/http/server.h"

namespace radishwing::platform {
namespace {
namespace json = boost::json;

/// A host service that lists one host a page.
struct host_client_fixture {
  host_client_fixture() {
    server = Value(http::server::Make(
        io, {}, [this](const http::server_request&, auto respond) {
          const std::string number = std::to_string(++page);
          json::array list{json::object{{"machine", "h" + number}}};
          json::object body{{"machines", std::move(list)}};
          if (page < pages) body["next-token"] = number;
          http::server_response response;
          response.body = json::serialize(body);
          respond(std::move(response));
        }));
    subject = Value(host_client::Make(io, {.address = server->Address()}));
  }

  result<std::vector<fleet::host_info>> List() {
    std::optional<result<std::vector<fleet::host_info>>> listed;
    subject->List([&](const auto& hosts) { listed = hosts; });
    while (!listed) io.run_one();
    return *listed;
  }

  boost::asio::io_context io;
  int page = 0;   ///< Number of pages sent.
  int pages = 0;  ///< Number of pages of the list.
  std::unique_ptr<http::server> server;
  std::unique_ptr<host_client> subject;
};

BOOST_FIXTURE_TEST_SUITE(host_client_list, host_client_fixture)

BOOST_AUTO_TEST_CASE(list_has_the_hosts_of_all_pages) {
  pages = 3;
  const auto listed = List();
  BOOST_REQUIRE(Ok(listed));
  BOOST_TEST(Value(listed).size() == 3u);
}

// Guards against taking the hosts on the pages that were not read for gone.
BOOST_AUTO_TEST_CASE(list_with_more_pages_than_are_read_is_an_error) {
  pages = 101;
  BOOST_TEST(!Ok(List()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::platform

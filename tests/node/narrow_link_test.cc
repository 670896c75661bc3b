#include "tools/fleet_fake/narrow_link.h"

#include <boost/test/unit_test.hpp>

#include "tests/node/node_fixture.h"

namespace radishwing::node {
namespace {

using boost::beast::http::verb;

constexpr std::size_t kLinkBytesPerS = 150'000;

struct narrow_link_fixture : node_fixture {
  fleet_fake::narrow_link link{io, store.Address(), kLinkBytesPerS};
};

BOOST_FIXTURE_TEST_SUITE(narrow_link_path, narrow_link_fixture)

// Guards against a configuration that is never applied because its transfer
// takes longer than the time limit of a call to the store.
BOOST_AUTO_TEST_CASE(large_configuration_is_applied) {
  constexpr int kRoutes = 1800;
  const std::string address = AddNode("n1", link.Address());
  BOOST_REQUIRE(CallUntil(address, verb::get, "/q/", 200));
  PutConfig({"k1"}, kRoutes);
  BOOST_TEST(CallUntil(address, verb::get, "/extra-0/", 200));
}

// Guards against a takeover that never ends because reading the jobs takes
// longer than the time limit of a call to the store.
BOOST_AUTO_TEST_CASE(successor_loads_many_jobs) {
  constexpr int kJobs = 40;
  constexpr std::size_t kSpecBytes = 3900;
  const std::string first_address = AddNode("n1");
  BOOST_REQUIRE(CallUntil(first_address, verb::get, "/q/", 200));
  for (int i = 0; i < kJobs; ++i) {
    BOOST_REQUIRE_EQUAL(
        Call(first_address, verb::post,
             "/q/" + std::string(14, '0') + std::to_string(10 + i),
             JobBody(1, std::string(kSpecBytes, 's'))),
        200u);
  }
  KillNode("n1");
  const std::string second_address = AddNode("n2", link.Address());
  BOOST_TEST(CallUntil(second_address, verb::get, "/q/", 200));
  BOOST_TEST(LeaderName() == "n2");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

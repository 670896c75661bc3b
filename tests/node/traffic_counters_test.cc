#include "src/node/traffic_counters.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::node {
namespace {

struct traffic_counters_fixture {
  prometheus::Registry registry;
  traffic_counters subject{registry};
};

BOOST_FIXTURE_TEST_SUITE(traffic_counters_rules, traffic_counters_fixture)

BOOST_AUTO_TEST_CASE(summary_has_the_bytes_since_the_last_one) {
  const auto store = subject.Hook("store");
  const auto runners = subject.Hook("runners");
  store(100, 0);
  store(0, 30);
  BOOST_TEST(subject.TakeSummary() == "store_sent=100 store_received=30");
  runners(7, 0);
  BOOST_TEST(subject.TakeSummary() == "runners_sent=7 runners_received=0");
  BOOST_TEST(subject.TakeSummary().empty());
}

BOOST_AUTO_TEST_CASE(hooks_of_the_same_other_side_share_their_counters) {
  const auto first = subject.Hook("runners");
  const auto second = subject.Hook("runners");
  first(1, 2);
  second(10, 20);
  BOOST_TEST(subject.TakeSummary() == "runners_sent=11 runners_received=22");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

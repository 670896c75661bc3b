#include "src/sched/fair_division.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <numeric>

namespace radishwing::sched {
namespace {

struct fair_division_fixture {
  std::vector<share_claim> claims;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(fair_division, fair_division_fixture)

BOOST_AUTO_TEST_CASE(claims_beyond_the_capacity_get_parts_by_weight) {
  claims = {{1, 100}, {3, 100}};
  const auto parts = DivideByWeight(40, claims);
  BOOST_TEST(parts[0] == 10);
  BOOST_TEST(parts[1] == 30);
}

BOOST_AUTO_TEST_CASE(unused_part_goes_to_the_other_claims) {
  claims = {{1, 5}, {1, 100}, {2, 100}};
  const auto parts = DivideByWeight(50, claims);
  BOOST_TEST(parts[0] == 5);
  BOOST_TEST(parts[1] == 15);
  BOOST_TEST(parts[2] == 30);
}

BOOST_AUTO_TEST_CASE(claims_within_the_capacity_get_their_demand) {
  claims = {{1, 5}, {100, 7}};
  const auto parts = DivideByWeight(50, claims);
  BOOST_TEST(parts[0] == 5);
  BOOST_TEST(parts[1] == 7);
}

BOOST_AUTO_TEST_CASE(invalid_weights_are_served_last_and_take_nothing_more) {
  const double huge = std::numeric_limits<double>::infinity();
  claims = {{-1, 10}, {0, 10}, {huge, 10}, {1, 10}};
  const auto parts = DivideByWeight(25, claims);
  BOOST_TEST(parts[3] == 10);
  BOOST_TEST(std::accumulate(parts.begin(), parts.end(), 0.0) == 25,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(no_capacity_gives_nothing) {
  claims = {{1, 10}, {1, -3}};
  BOOST_TEST(DivideByWeight(-5, claims)[0] == 0);
  BOOST_TEST(DivideByWeight(5, claims)[1] == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishwing::sched

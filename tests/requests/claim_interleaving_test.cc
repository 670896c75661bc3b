#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/requests/claim_world.h"

namespace radishwing::test {
namespace {

// Guards against a second run of an identifier in any order of lost and late
// messages, crashes and roster changes (I7), and against claims that are never
// granted, which would hide it.
BOOST_AUTO_TEST_CASE(claim_world_any_interleaving_runs_at_most_once) {
  const interleaving_plan plan{.seed = 7, .runs = 1000, .length = 2000};
  int fresh = 0;
  const std::string report =
      CheckInterleavings(plan, [&fresh](choices& choices) {
        claim_world world(choices);
        while (choices.Left()) {
          const std::string broken = world.Step();
          if (!broken.empty()) return broken;
        }
        fresh += world.Fresh();
        return std::string();
      });
  BOOST_TEST(report == "");
  BOOST_TEST(fresh > plan.runs);
}

}  // namespace
}  // namespace radishwing::test

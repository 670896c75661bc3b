#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/quota/token_world.h"

namespace radishwing::test {
namespace {

// Guards against any order of lost, duplicated and late messages, crashes and
// recoveries that lets a team use more tokens than its limit (I4).
BOOST_AUTO_TEST_CASE(token_world_any_interleaving_never_exceeds_limit) {
  const interleaving_plan plan{.seed = 4, .runs = 1500, .length = 1500};
  const std::string report = CheckInterleavings(plan, [](choices& choices) {
    token_world world(choices);
    while (choices.Left()) {
      const std::string broken = world.Step();
      if (!broken.empty()) return broken;
    }
    return std::string();
  });
  BOOST_TEST(report == "");
}

}  // namespace
}  // namespace radishwing::test

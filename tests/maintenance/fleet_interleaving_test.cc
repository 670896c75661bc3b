#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/maintenance/fleet_world.h"

namespace radishwing::test {
namespace {

// Guards against two controls, old copies of the records, lost answers and
// failures that together break a floor (I1) or put a host into two pools (I2),
// and against a wave that never maintains anything.
BOOST_AUTO_TEST_CASE(fleet_world_any_interleaving_keeps_floor_and_pool) {
  const interleaving_plan plan{.seed = 11, .runs = 400, .length = 3000};
  std::uint32_t maintained = 0;
  const std::string report =
      CheckInterleavings(plan, [&maintained](choices& choices) {
        fleet_world world(choices);
        while (choices.Left()) {
          const std::string broken = world.Step();
          if (!broken.empty()) return broken;
        }
        maintained += world.Maintained();
        return std::string();
      });
  BOOST_TEST(report == "");
  BOOST_TEST(maintained > static_cast<std::uint32_t>(plan.runs));
}

}  // namespace
}  // namespace radishwing::test

#include <boost/test/unit_test.hpp>

#include "tests/node/leader_fixture.h"

namespace radishwing::node {
namespace {

// Longer than the time after which a runner without an entry is dropped.
constexpr millis kLongTakeoverMs = 4000;

BOOST_FIXTURE_TEST_SUITE(leader_takeover, leader_fixture)

// Guards against a successor that does not know of a runner with tasks and
// starts these tasks again.
BOOST_AUTO_TEST_CASE(runner_set_is_kept_while_the_runners_cannot_be_read) {
  store.RefuseReadsOf("servers/");
  StartTakeover();
  RunUntil([&] { return runner.PollCount() > 0; });
  time.Advance(kLongTakeoverMs);
  const int refused_before = store.RefusedReadCount();
  RunUntil([&] { return store.RefusedReadCount() > refused_before + 3; });
  BOOST_TEST(store.Value(RunnerSetKey()) == RunnerSet());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

#include "src/node/event_log.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::node {
namespace {

struct event_log_fixture {
  manual_clock time{1000};
  event_log subject{time.AsClock()};
};

BOOST_FIXTURE_TEST_SUITE(event_log_budget, event_log_fixture)

// Guards against a burst from one component suppressing the lines of others.
BOOST_AUTO_TEST_CASE(burst_of_one_component_does_not_limit_others) {
  for (int i = 0; i < 1000; ++i) subject.Info("query", "asked");
  const std::uint64_t dropped = subject.DroppedLineCount();
  BOOST_TEST(dropped > 0u);
  subject.Info("front", "answered");
  BOOST_TEST(subject.DroppedLineCount() == dropped);
}

// Guards against a component that reaches the limit and is then never logged
// again.
BOOST_AUTO_TEST_CASE(budget_is_reset_after_one_second) {
  for (int i = 0; i < 1000; ++i) subject.Info("query", "asked");
  const std::uint64_t dropped = subject.DroppedLineCount();
  time.Advance(1000);
  subject.Info("query", "asked");
  BOOST_TEST(subject.DroppedLineCount() == dropped);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

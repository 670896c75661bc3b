#include "src/sched/advice_turns.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace radishwing::sched {
namespace {

struct advice_turns_fixture {
  /// Sends a query while the steps in `waiting` need one, the most urgent
  /// first. Returns the step of the query.
  std::string Send(const std::vector<std::string>& waiting) {
    std::vector<advice_request> requests;
    for (const std::string& step : waiting) {
      advice_request request;
      request.step = step;
      requests.push_back(std::move(request));
    }
    subject.Observe(requests);
    return requests[subject.Next(requests)].step;
  }

  advice_turns subject;
};

BOOST_FIXTURE_TEST_SUITE(advice_turns_order, advice_turns_fixture)

BOOST_AUTO_TEST_CASE(most_urgent_step_is_first) {
  BOOST_TEST(Send({"a", "b"}) == "a");
}

// Guards against a step whose queries fail, or bring no usable ticket, and hold
// up those of all other steps.
BOOST_AUTO_TEST_CASE(step_that_needs_query_after_query_leaves_others_a_turn) {
  std::vector<std::string> sent;
  for (int i = 0; i < 6; ++i) sent.push_back(Send({"a", "b", "c"}));
  BOOST_TEST(sent == (std::vector<std::string>{"a", "b", "a", "c", "a", "b"}),
             boost::test_tools::per_element());
}

// Guards against a step that never has its turn because new ones keep coming.
BOOST_AUTO_TEST_CASE(new_steps_do_not_overtake_the_one_that_waits_longest) {
  Send({"a", "b"});
  BOOST_TEST(Send({"c", "d", "b"}) == "b");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

#include "src/sched/recorded_runners.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::sched {
namespace {

BOOST_AUTO_TEST_SUITE(recorded_runners_rules)

// Guards against placing tasks on a runner that may be missing from the record.
// An unanswered write had removed the runner before the runner came back; the
// next leader did not poll the runner, and a task on it ran twice.
BOOST_AUTO_TEST_CASE(runner_dropped_by_an_unanswered_write_is_not_certain) {
  recorded_runners subject;
  subject.RecordRead({"a", "x"});
  subject.WriteSent({"a"});
  BOOST_TEST(!subject.Certain().contains("x"));
  subject.WriteSent({"a", "x"});
  BOOST_TEST(!subject.Certain().contains("x"));
  BOOST_TEST(subject.Certain().contains("a"));
  subject.WriteConfirmed();
  BOOST_TEST(subject.Certain().contains("x"));
}

BOOST_AUTO_TEST_CASE(new_runner_is_certain_after_its_write_only) {
  recorded_runners subject;
  subject.RecordRead({"a"});
  subject.WriteSent({"a", "b"});
  BOOST_TEST(!subject.Certain().contains("b"));
  subject.WriteConfirmed();
  BOOST_TEST(subject.Certain().contains("b"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

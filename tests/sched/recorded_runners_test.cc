#include "src/sched/recorded_runners.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::sched {
namespace {

BOOST_AUTO_TEST_SUITE(recorded_runners_rules)

// Guards against placing tasks on a runner that may be missing from the runner
// set in the store. A write that removed the runner got no answer, and then the
// runner came back. The next leader did not poll the runner, and a task on the
// runner ran twice.
BOOST_AUTO_TEST_CASE(runner_dropped_by_an_unanswered_write_is_not_certain) {
  recorded_runners subject;
  subject.NoteRecordRead({"a", "x"});
  subject.NoteWriteSent({"a"});
  BOOST_TEST(!subject.CertainRunners().contains("x"));
  subject.NoteWriteSent({"a", "x"});
  BOOST_TEST(!subject.CertainRunners().contains("x"));
  BOOST_TEST(subject.CertainRunners().contains("a"));
  subject.NoteWriteConfirmed();
  BOOST_TEST(subject.CertainRunners().contains("x"));
}

BOOST_AUTO_TEST_CASE(new_runner_is_certain_after_its_write_only) {
  recorded_runners subject;
  subject.NoteRecordRead({"a"});
  subject.NoteWriteSent({"a", "b"});
  BOOST_TEST(!subject.CertainRunners().contains("b"));
  subject.NoteWriteConfirmed();
  BOOST_TEST(subject.CertainRunners().contains("b"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

#include <boost/test/unit_test.hpp>

#include "tests/node/leader_fixture.h"

namespace radishwing::node {
namespace {

constexpr const char* kJobId = "00000000000000a1";

struct leader_runners_fixture : leader_fixture {
  /// Writes an entry over that of the runner, as another writer does.
  void OverwriteEntry(const std::string& pool) {
    store.Put("servers/w0", R"({"backend":")" + pool +
                                R"(","address":"127.0.0.1:1","zone":"z",)"
                                R"("state":"ready"})");
  }

  /// Runs until the watch for runners has delivered what was stored so far.
  void AwaitEntries() {
    const std::string entry = store.Value("servers/w0");
    auto known = boost::json::parse(entry).as_object();
    known["backend"] = "pool";
    known["address"] = "127.0.0.1:1";
    store.Put("servers/marker", boost::json::serialize(known));
    RunUntil([&] {
      return store.Value(RunnerSetKey()).find("marker") != std::string::npos;
    });
  }
};

BOOST_FIXTURE_TEST_SUITE(leader_runners, leader_runners_fixture)

// Guards against a live runner that is not polled any more, so that the ends of
// its tasks are never seen, after one entry of another writer.
BOOST_AUTO_TEST_CASE(odd_entry_leaves_the_runner_in_use) {
  BecomeReady();
  RunUntil([&] { return runner.PollCount() > 2; });
  OverwriteEntry("no_such_pool");
  AwaitEntries();
  const int polls = runner.PollCount();
  const auto revision = StoreJob(kJobId);
  subject->AddJob(kJobId, JobRecord(), revision);
  RunUntil([&] { return !HasNoRun(kJobId) && runner.PollCount() > polls + 1; });
}

BOOST_AUTO_TEST_CASE(odd_entry_that_stays_keeps_new_tasks_away) {
  BecomeReady();
  RunUntil([&] { return runner.PollCount() > 2; });
  OverwriteEntry("no_such_pool");
  AwaitEntries();
  AdvanceWithLease(5000);
  RunUntil([&] { return runner.PollCount() > 4; });
  const auto revision = StoreJob(kJobId);
  subject->AddJob(kJobId, JobRecord(), revision);
  const int polls = runner.PollCount();
  RunUntil([&] { return runner.PollCount() > polls + 2; });
  BOOST_TEST(HasNoRun(kJobId));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

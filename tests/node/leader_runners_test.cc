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

  /// Removes a field from the runner's entry.
  void RemoveField(const std::string& field) {
    auto entry = boost::json::parse(store.Value("servers/w0")).as_object();
    entry.erase(field);
    store.Put("servers/w0", boost::json::serialize(entry));
  }

  /// Runs until the watch for runners has delivered what was stored so far.
  void AwaitEntries() {
    store.Put("servers/marker", R"({"backend":"pool","address":"127.0.0.1:1",)"
                                R"("zone":"z","state":"ready"})");
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

// Guards against a runner that is gone, and whose entry another writer has
// taken over for good.
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

// Guards against a runner whose room, labels or data centre are taken for
// nothing because an entry lacks the field.
BOOST_AUTO_TEST_CASE(entry_without_a_field_leaves_the_registration_in_force) {
  BecomeReady();
  RunUntil([&] { return runner.PollCount() > 2; });
  const std::string entry = store.Value("servers/w0");
  for (const char* field : {"zone", "free-resources", "labels"}) {
    store.Put("servers/w0", entry);
    RemoveField(field);
  }
  AwaitEntries();
  BOOST_TEST(store.Value(RunnerSetKey()).find(R"("z"])") != std::string::npos);
  const auto revision = StoreJob(kJobId);
  subject->AddJob(kJobId, JobRecord(), revision);
  RunUntil([&] { return !HasNoRun(kJobId); });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

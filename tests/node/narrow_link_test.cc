#include "tools/fleet_fake/narrow_link.h"

#include <boost/test/unit_test.hpp>

#include "src/node/job_record_codec.h"
#include "src/node/record_keys.h"
#include "tests/node/node_fixture.h"

namespace radishwing::node {
namespace {

using boost::beast::http::verb;

constexpr std::size_t kLinkBytesPerS = 150'000;

constexpr std::size_t kSlowLinkBytesPerS = 25'000;

struct narrow_link_fixture : node_fixture {
  /// Stores some 200 kB of jobs that no leader has seen yet.
  void StoreJobs() {
    constexpr int kJobs = 40;
    constexpr std::size_t kSpecBytes = 3900;
    for (int i = 0; i < kJobs; ++i) {
      fleet::job_record record;
      record.id = std::string(14, '0') + std::to_string(10 + i);
      record.queue = "q";
      record.pool = "pool";
      record.team = "team";
      record.max_attempts = 2;
      record.body = JobBody(1, std::string(kSpecBytes, 's'));
      store.Put(JobKey(record.id), EncodeJobRecord(record, 0));
    }
  }

  fleet_fake::narrow_link link{io, store.Address(), kLinkBytesPerS};
  fleet_fake::narrow_link slow_link{io, store.Address(), kSlowLinkBytesPerS};
};

BOOST_FIXTURE_TEST_SUITE(narrow_link_path, narrow_link_fixture)

// Guards against a configuration that is never applied because its transfer
// takes longer than the time limit of a call to the store.
BOOST_AUTO_TEST_CASE(large_configuration_is_applied) {
  constexpr int kRoutes = 1800;
  const std::string address = AddNode("n1", link.Address());
  BOOST_REQUIRE(CallUntil(address, verb::get, "/q/", 200));
  PutConfig({"k1"}, kRoutes);
  BOOST_TEST(CallUntil(address, verb::get, "/extra-0/", 200));
}

// Guards against a takeover that never ends because reading the jobs takes
// longer than the time limit of a call to the store.
BOOST_AUTO_TEST_CASE(leader_loads_many_jobs) {
  StoreJobs();
  const std::string address = AddNode("n1", link.Address());
  BOOST_TEST(CallUntil(address, verb::get, "/q/", 200));
}

// Guards against a load that starves because the leader lists all runners again
// and again meanwhile, and discards the listings.
BOOST_AUTO_TEST_CASE(loading_leader_polls_runners_once_a_second) {
  StoreJobs();
  AddNode("n1", slow_link.Address());
  BOOST_REQUIRE(RunUntil([&] { return runners[0]->PollCount() > 0; }));
  const clock now = clock::Monotonic();
  const millis first_poll_at = now.Now();
  BOOST_REQUIRE(RunUntil([&] { return runners[0]->PollCount() > 3; }));
  BOOST_TEST(now.Now() - first_poll_at >= 2900);
}

// Guards against a small node that keeps the lead for as long as it loads the
// jobs, while a larger one could have taken over at once.
BOOST_AUTO_TEST_CASE(loading_leader_yields_to_a_larger_node) {
  StoreJobs();
  cores = 0.1;
  AddNode("n1", slow_link.Address());
  BOOST_REQUIRE(RunUntil([&] { return LeaderName() == "n1"; }));
  cores = 1;
  AddNode("n2");
  BOOST_REQUIRE(RunUntil([&] { return LeaderName() == "n2"; }));
  BOOST_TEST(recorder.tasks.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

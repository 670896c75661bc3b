#include "src/membership/member_table.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>
#include <set>

namespace radishwing::membership {
namespace {

member Row(std::string host, std::uint64_t incarnation,
           std::uint64_t heartbeat) {
  member row;
  row.host = std::move(host);
  row.data_centre = "ams";
  row.incarnation = incarnation;
  row.heartbeat = heartbeat;
  return row;
}

struct member_table_fixture {
  member_table table{Row("a", 100, 0), member_timing(), 0};

  // Heartbeats of `host` while time passes second by second.
  void Pass(int seconds, millis& now) {
    for (int i = 0; i < seconds; ++i) table.Tick(now += 1000);
  }
};

// Guards against calling a member failed too early, or never.
BOOST_FIXTURE_TEST_CASE(member_table_silent_member_is_suspect_then_failed,
                        member_table_fixture) {
  millis now = 0;
  table.Merge(std::vector{Row("b", 1, 1)}, now);
  Pass(2, now);
  BOOST_TEST((table.Find("b")->state == member_state::kAlive));
  Pass(1, now);
  BOOST_TEST((table.Find("b")->state == member_state::kSuspect));
  Pass(7, now);
  BOOST_TEST((table.Find("b")->state == member_state::kFailed));
  table.Merge(std::vector{Row("b", 1, 1)}, now);
  BOOST_TEST((table.Find("b")->state == member_state::kFailed));
  table.Merge(std::vector{Row("b", 1, 2)}, now);
  BOOST_TEST((table.Find("b")->state == member_state::kAlive));
}

// Guards against a paused control that wakes and declares everybody failed.
BOOST_FIXTURE_TEST_CASE(member_table_own_pause_is_not_silence_of_others,
                        member_table_fixture) {
  table.Merge(std::vector{Row("b", 1, 1)}, 0);
  table.Tick(1000);
  BOOST_TEST(table.Tick(60000).empty());
  BOOST_TEST((table.Find("b")->state == member_state::kAlive));
}

// Guards against a member that stays suspect for others although it works.
BOOST_FIXTURE_TEST_CASE(member_table_doubted_member_refutes,
                        member_table_fixture) {
  member doubt = Row("a", 100, 5);
  doubt.state = member_state::kSuspect;
  table.Merge(std::vector{doubt}, 0);
  BOOST_TEST(table.Self().incarnation == 101);
}

// Guards against a leave that is undone by an older digest in flight, and
// against a restart on the same host that stays ignored.
BOOST_FIXTURE_TEST_CASE(member_table_left_stays_left_until_restart,
                        member_table_fixture) {
  table.Merge(std::vector{Row("b", 1, 1)}, 0);
  member left = Row("b", 1, 2);
  left.state = member_state::kLeft;
  table.Merge(std::vector{left}, 0);
  table.Merge(std::vector{Row("b", 1, 9)}, 0);
  BOOST_TEST((table.Find("b")->state == member_state::kLeft));
  table.Merge(std::vector{Row("b", 2, 1)}, 0);
  BOOST_TEST((table.Find("b")->state == member_state::kAlive));
}

// Guards against a mesh above 16 members that is not connected, and against
// digests that grow with the fleet.
BOOST_AUTO_TEST_CASE(member_table_partial_mesh_reaches_all_members) {
  constexpr int kMembers = 64;
  auto name = [](int i) { return "h" + std::to_string(100 + i); };
  std::set<std::string> reached{name(0)};
  for (int step = 0; step < 6; ++step) {
    std::set<std::string> next = reached;
    for (const std::string& host : reached) {
      member_table table(Row(host, 1, 0), member_timing(), 0);
      std::vector<member> others;
      for (int i = 0; i < kMembers; ++i) others.push_back(Row(name(i), 1, 1));
      table.Merge(others, 0);
      auto peers = table.HeartbeatPeers();
      BOOST_TEST(peers.size() == 6U);
      for (const member& peer : peers) next.insert(peer.host);
      table.Digest("h100");
      BOOST_TEST(table.Digest("h100").size() <= 3U);
      BOOST_TEST(table.Beats("h100").size() <= 11U);
    }
    reached = next;
  }
  BOOST_TEST(reached.size() == static_cast<std::size_t>(kMembers));
}

}  // namespace
}  // namespace radishwing::membership

#include <boost/test/unit_test.hpp>

#include "tests/sched/load_harness.h"

namespace radishwing::sched {
namespace {

constexpr int kRunners = 40;
constexpr millis kRecoveryMs = 10'000;
constexpr millis kEnd = load_harness::kFloodEnd + kRecoveryMs + 6000;

struct scheduler_load_fixture {
  using outcome = load_harness::outcome;

  static bool IsFlooding(const load_job& job) { return job.team == "t0"; }
  static bool IsOther(const load_job& job) { return !IsFlooding(job); }
  static bool IsAny(const load_job&) { return true; }

  /// Returns a played load of ten teams, of which the largest one sends
  /// `flood_factor` times its usual during the flood.
  static load_harness Play(double load, double flood_factor,
                           millis end = kEnd) {
    load_harness played(kRunners,
                        load_harness::TenTeams(kRunners, load, flood_factor));
    played.PlayUntil(end);
    return played;
  }

  static outcome DuringFlood(const load_harness& played,
                             bool (*include)(const load_job&)) {
    return played.Outcome(load_harness::kFloodStart, load_harness::kFloodEnd,
                          include);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(scheduler_load, scheduler_load_fixture)

// Guards against a team that takes the room of the others by sending many times
// its usual.
BOOST_AUTO_TEST_CASE(flood_of_one_team_costs_the_others_under_a_tenth) {
  for (const double load : {0.6, 0.85}) {
    const load_harness usual = Play(load, 1);
    const load_harness flood = Play(load, 10);
    const outcome before = DuringFlood(usual, IsOther);
    const outcome others = DuringFlood(flood, IsOther);
    BOOST_REQUIRE_EQUAL(others.jobs, before.jobs);
    BOOST_TEST(others.InTimeShare() >= 0.9 * before.InTimeShare());
    // The flooding team uses the room that the others leave.
    const double room =
        flood.RoomCoreMs(load_harness::kFloodEnd - load_harness::kFloodStart) -
        others.core_ms;
    const outcome flooding = DuringFlood(flood, IsFlooding);
    BOOST_TEST(flooding.core_ms > room);
    BOOST_TEST(flooding.in_time_core_ms >= 0.5 * room);
    const millis recovered = load_harness::kFloodEnd + kRecoveryMs;
    BOOST_TEST(
        flood.Outcome(recovered, recovered + 2000, IsAny).InTimeShare() >=
        usual.Outcome(recovered, recovered + 2000, IsAny).InTimeShare());
  }
}

// Guards against a near miss in series: with more work than room, every job is
// started, and each of them ends just after its objective.
BOOST_AUTO_TEST_CASE(overload_ends_jobs_in_time_or_leaves_them) {
  for (const double load : {1.5, 3.0}) {
    const load_harness played = Play(load, 1, load_harness::kFloodEnd);
    const outcome all =
        played.Outcome(2000, load_harness::kFloodEnd - 4000, IsAny);
    const double room = played.RoomCoreMs(load_harness::kFloodEnd - 6000);
    BOOST_TEST(all.in_time_core_ms >= 0.5 * room);
    BOOST_TEST(all.near_misses <= 0.1 * all.in_time);
  }
}

// Guards against jobs that never end because they have missed their objective.
BOOST_AUTO_TEST_CASE(job_beyond_all_value_ends_when_there_is_room) {
  load_harness played(kRunners, load_harness::TenTeams(kRunners, 0.5, 30));
  played.PlayUntil(load_harness::kFloodEnd);
  BOOST_TEST(DuringFlood(played, IsAny).unfinished > 0);
  for (team_load& team : played.teams) team.jobs_per_s = 1e-9;
  played.PlayUntil(load_harness::kFloodEnd + 60'000);
  BOOST_TEST(DuringFlood(played, IsAny).unfinished == 0);
}

BOOST_AUTO_TEST_CASE(new_weights_divide_the_room_within_seconds) {
  std::vector<team_load> loads{{"t0", 1, 40}, {"t1", 1, 40}};
  load_harness played(kRunners, loads);
  played.PlayUntil(10'000);
  const auto ratio = [&] {
    const auto& shares = played.subject->TeamShares();
    BOOST_REQUIRE_EQUAL(shares.size(), 2u);
    return shares[0].used_share / shares[1].used_share;
  };
  BOOST_TEST(ratio() > 0.75);
  BOOST_TEST(ratio() < 1.33);
  played.config.teams[0].weight = 3;
  played.subject->SetConfig(played.config);
  played.PlayUntil(18'000);
  BOOST_TEST(ratio() > 2);
  BOOST_TEST(ratio() < 4);
}

// Guards against a successor that takes a flooding team for one that has used
// nothing.
BOOST_AUTO_TEST_CASE(successor_rebuilds_the_shares_from_what_runs) {
  load_harness played(kRunners, load_harness::TenTeams(kRunners, 0.6, 10));
  played.PlayUntil(load_harness::kFloodEnd - 2000);
  const double before = played.subject->TeamShares()[0].used_share;
  played.ReplaceLeader();
  played.PlayUntil(played.now + 100);
  const share_report& after = played.subject->TeamShares()[0];
  BOOST_TEST(after.team == "t0");
  BOOST_TEST(after.used_share >= 0.8 * before);
  played.PlayUntil(kEnd);
  BOOST_TEST(DuringFlood(played, IsOther).InTimeShare() >= 0.9);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishwing::sched

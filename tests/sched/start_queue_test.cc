#include "src/sched/start_queue.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <limits>

namespace radishwing::sched {
namespace {

struct start_queue_fixture {
  start_queue_fixture() { BeginPass(1000); }

  void BeginPass(millis now) {
    shares.BeginPass(now, {{"a", {10'000, 1000, 0}}, {"b", {10'000, 1000, 0}}});
  }

  void SetWeights(std::vector<double> weights) {
    fleet::fleet_config config;
    for (std::size_t i = 0; i < weights.size(); ++i) {
      config.teams.push_back(
          {"t" + std::to_string(i), {"key"}, weights[i], {}});
    }
    shares.SetConfig(config);
  }

  job_state& Job(const std::string& team, const std::string& pool = "a") {
    job_state& job = jobs.emplace_back();
    job.record.id = std::to_string(jobs.size());
    job.account = &shares.Account(pool, team);
    return job;
  }

  void Hold(const std::string& team, std::int64_t millicores) {
    shares.AddRun(shares.Account("a", team), {millicores, 1, 0}, 1);
  }

  /// Returns the teams of the jobs of `queue` in their order.
  static std::string Order(start_queue& queue) {
    std::string teams;
    while (const job_state* job = queue.Next(0)) teams += job->account->team;
    return teams;
  }

  /// The shortage of all pools lasts.
  const std::set<std::string> all_short{"a", "b"};
  static constexpr job_rank kNew{job_prospect::kInTime, 0, 1, 0};
  static constexpr job_rank kBegun{job_prospect::kInTime, 0, 0, 0};
  team_shares shares;
  std::deque<job_state> jobs;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(start_queues, start_queue_fixture)

BOOST_AUTO_TEST_CASE(priority_of_the_queue_comes_before_the_share) {
  SetWeights({1, 1});
  Hold("t1", 5000);
  start_queue queue(shares, all_short);
  queue.Add(Job("t0"), {job_prospect::kInTime, 1, 1, 0});
  queue.Add(Job("t1"), {job_prospect::kInTime, 0, 1, 0});
  BOOST_TEST(Order(queue) == "t1t0");
}

// Guards against work that is kept going beyond its team's share, and against
// begun jobs that wait for new ones of teams within theirs.
BOOST_AUTO_TEST_CASE(begun_job_comes_first_unless_its_team_is_over_its_share) {
  SetWeights({1, 1});
  Hold("t0", 5000);
  Hold("t1", 5500);
  start_queue fair(shares, all_short);
  fair.Add(Job("t0"), kNew);
  fair.Add(Job("t1"), kBegun);
  BOOST_TEST(Order(fair) == "t1t0");
  Hold("t1", 20'000);
  start_queue unfair(shares, all_short);
  unfair.Add(Job("t0"), kNew);
  unfair.Add(Job("t1"), kBegun);
  BOOST_TEST(Order(unfair) == "t0t1");
}

// Guards against a flood in one pool that uses up the starts of all pools.
BOOST_AUTO_TEST_CASE(pools_take_turns) {
  start_queue queue(shares, all_short);
  for (int i = 0; i < 3; ++i) queue.Add(Job("x", "a"), kNew);
  for (int i = 0; i < 2; ++i) queue.Add(Job("y", "b"), kNew);
  std::string order;
  while (const job_state* job = queue.Next(1)) order += job->account->team;
  BOOST_TEST(order == "xyxyx");
}

// Guards against a team that gains by sending its work in bursts.
BOOST_AUTO_TEST_CASE(use_of_the_last_seconds_counts_after_the_runs_ended) {
  SetWeights({1, 1});
  Hold("t0", 8000);
  BeginPass(4000);
  shares.Level(shares.Account("a", "t0"));
  shares.AddRun(shares.Account("a", "t0"), {8000, 1, 0}, -1);
  BOOST_TEST(shares.Level(shares.Account("a", "t0")) > 0.2);
  BeginPass(24'000);
  BOOST_TEST(shares.Level(shares.Account("a", "t0")) < 0.01);
}

// Guards against weights from a bad configuration that exclude a team, or let
// it exclude the others.
BOOST_AUTO_TEST_CASE(bad_weights_order_the_teams_and_exclude_none) {
  SetWeights({0, -3, std::numeric_limits<double>::quiet_NaN(),
              std::numeric_limits<double>::infinity(), 1e300, 1});
  start_queue queue(shares, all_short);
  for (int t = 0; t < 6; ++t) {
    Hold("t" + std::to_string(t), 1000);
    queue.Add(Job("t" + std::to_string(t)), kNew);
  }
  Hold("", 1000);
  queue.Add(Job(""), kNew);
  Hold("unknown", 1000);
  queue.Add(Job("unknown"), kNew);
  BOOST_TEST(Order(queue) == "t4unknownt5t0t1t2t3");
  for (const share_report& report : shares.Report()) {
    BOOST_TEST(std::isfinite(report.due_share));
  }
}

// Guards against jobs that miss their objective because others go first in a
// shortage of a moment.
BOOST_AUTO_TEST_CASE(short_shortage_leaves_the_order_by_latest_start) {
  SetWeights({1, 1});
  Hold("t1", 5000);
  start_queue queue(shares, {});
  job_rank later = kBegun;
  later.order = 10;
  queue.Add(Job("t0"), later);
  queue.Add(Job("t1"), kNew);
  BOOST_TEST(Order(queue) == "t1t0");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishwing::sched

#include "src/sched/admission_policy.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "src/sched/backlog_codec.h"
#include "src/sched/backlog_publisher.h"
#include "tests/sched/shared_pool.h"

namespace radishwing::sched {
namespace {

constexpr double kRoom = 100000;  // 100 cores.

/// A node that decides with a summary of one pool.
struct admission_policy_fixture {
  admission_policy_fixture() {
    pool.pool = "pool";
    pool.capacity = {static_cast<std::int64_t>(kRoom), 0, 0};
    pool.room_millicores = kRoom;
  }

  /// Returns a job of one task that runs for a second on one core. Its
  /// objective is two seconds.
  static fleet::job_record Job(const std::string& team,
                               const std::string& id = "a") {
    fleet::job_record job;
    job.id = id;
    job.queue = "queue";
    job.pool = "pool";
    job.team = team;
    job.stretch = 1;
    job.target_ms = 1000;
    fleet::task_step step;
    step.needs = {1000, 0, 0};
    step.estimate_ms = 1000;
    job.request.steps = {step};
    return job;
  }

  /// Adds work that waits to the backlog of a team; `seconds` is the time that
  /// the whole pool takes for it.
  team_backlog& AddBacklog(const std::string& team, double seconds,
                           double weight = 1) {
    team_backlog& backlog = pool.teams.emplace_back();
    backlog.claim = {team, 0};
    backlog.weight = weight;
    backlog.waiting_millicores = kRoom;
    backlog.feasible_core_ms[0] = seconds * kRoom;
    return backlog;
  }

  void ApplySummary(std::uint64_t fence = 1, bool complete = true) {
    backlog_summary summary;
    summary.fencing_token = fence;
    summary.sequence = ++sequence;
    summary.complete = complete;
    summary.nodes = nodes;
    summary.pools = {pool};
    BOOST_TEST(subject.ApplySummary(summary, now));
  }

  void ApplyEmptySummary() {
    backlog_summary summary;
    summary.fencing_token = 1;
    summary.sequence = ++sequence;
    summary.nodes = nodes;
    BOOST_TEST(subject.ApplySummary(summary, now));
  }

  admission_decision Decide(const fleet::job_record& job, double weight = 1,
                            bool returning = false) {
    return subject.Decide(job, weight, returning, now);
  }

  millis now = 10000;
  std::uint64_t sequence = 0;
  std::uint64_t nodes = 1;
  pool_backlog pool;
  admission_policy subject;
};

BOOST_FIXTURE_TEST_SUITE(admission_policy_rules, admission_policy_fixture)

// Guards against a flood of one team that shuts out others, is served without a
// bound, or goes on after its end; against accepting jobs that are never
// served; and against callers that come back after a refusal and are overtaken
// by newcomers.
BOOST_FIXTURE_TEST_CASE(flood_is_refused_beyond_the_share_of_its_team,
                        shared_pool) {
  Run({.flood_jobs_per_s = 1000, .flood_until_ms = 10000, .end_ms = 40000});
  const team_result& flood = results["flood"];
  const team_result& other = results["other"];
  BOOST_TEST(other.refused == 0);
  BOOST_TEST(other.in_time * 10 >= other.submitted * 9);
  BOOST_TEST(flood.refused > flood.submitted / 4);
  BOOST_TEST_MESSAGE("flood: submitted="
                     << flood.submitted << " accepted=" << flood.accepted
                     << " refused=" << flood.refused << " returned="
                     << flood.returned << " retacc=" << flood.returned_accepted
                     << " in_time=" << flood.in_time
                     << " without_value=" << flood.without_value);
  // Work of the share of the flooding team, half of the pool, for 10 s.
  BOOST_TEST(flood.accepted > 400);
  BOOST_TEST(flood.without_value * 2 < flood.accepted);
  BOOST_TEST(refused_after_flood == 0);
  BOOST_TEST(flood.largest_retry_after_s <= kMaxRetryAfterSeconds);
  // A caller that comes back is accepted rather than a newcomer.
  const int newcomers_accepted = flood.accepted - flood.returned_accepted;
  BOOST_TEST(static_cast<double>(flood.returned_accepted) / flood.returned >
             2.0 * newcomers_accepted / flood.submitted);
}

BOOST_AUTO_TEST_CASE(job_that_would_only_be_late_is_accepted) {
  AddBacklog("team", 3);
  ApplySummary();
  BOOST_TEST(Decide(Job("team")).accepted);
}

BOOST_AUTO_TEST_CASE(job_without_value_at_its_end_is_refused_until_then) {
  AddBacklog("team", 8);
  ApplySummary();
  const admission_decision decision = Decide(Job("team"));
  BOOST_TEST(!decision.accepted);
  BOOST_TEST((decision.reason == refusal_reason::kPoolFull));
  BOOST_TEST(decision.retry_after_s >= 8);
  BOOST_TEST(decision.retry_after_s <= 10);
}

BOOST_AUTO_TEST_CASE(used_up_limit_is_told_from_a_full_pool) {
  AddBacklog("team", 1).limit_millicores = kRoom / 20;
  ApplySummary();
  const admission_decision decision = Decide(Job("team"));
  BOOST_TEST(!decision.accepted);
  BOOST_TEST((decision.reason == refusal_reason::kTeamLimit));
  BOOST_TEST(Decide(Job("other")).accepted);
}

// Guards against judging long-running or scheduled jobs by the present load,
// and against shutting out a job that is larger than the pool's free capacity.
BOOST_AUTO_TEST_CASE(jobs_are_judged_by_their_own_terms) {
  AddBacklog("small", 60);
  ApplySummary();
  fleet::job_record wide = Job("wide");
  wide.request.steps[0].count = 1000;
  BOOST_TEST(Decide(wide).accepted);
  fleet::job_record scheduled = Job("small");
  scheduled.request.repetitions = 2;
  BOOST_TEST(Decide(scheduled).accepted);
  fleet::job_record long_running = Job("small");
  long_running.request.steps[0].long_running = true;
  BOOST_TEST(Decide(long_running).accepted);
  fleet::job_record patient = Job("small");
  patient.target_ms = 30000;
  BOOST_TEST(Decide(patient).accepted);
  BOOST_TEST(!Decide(Job("small")).accepted);
}

BOOST_AUTO_TEST_CASE(late_jobs_do_not_delay_one_that_can_be_in_time) {
  AddBacklog("team", 0.5).late_core_ms = 20 * kRoom;
  ApplySummary();
  BOOST_TEST(Decide(Job("team")).accepted);
}

BOOST_AUTO_TEST_CASE(higher_priority_goes_first_and_lower_does_not_matter) {
  AddBacklog("urgent", 20);
  AddBacklog("lazy", 60).claim.priority = 2;
  ApplySummary();
  fleet::job_record job = Job("team");
  job.priority = 1;
  BOOST_TEST(!Decide(job).accepted);
  job.priority = 0;
  BOOST_TEST(Decide(job).accepted);
}

// Guards against a forecast that differs from the order of starts: jobs that
// can be in time first, then priority.
BOOST_AUTO_TEST_CASE(only_feasible_work_of_others_delays_a_job_in_time) {
  team_backlog& urgent = AddBacklog("urgent", 0);
  urgent.late_core_ms = 30 * kRoom;
  urgent.blocked_core_ms = 30 * kRoom;
  ApplySummary();
  fleet::job_record job = Job("team");
  job.priority = 1;
  BOOST_TEST(Decide(job).accepted);
  // Work of its own that takes the time until its objective: the job would be
  // late, so that the late work of a higher priority goes before it.
  AddBacklog("team", 1.5).claim.priority = 1;
  ApplySummary();
  BOOST_TEST(!Decide(job).accepted);
  pool.teams[0].late_core_ms = 0;
  ApplySummary();
  BOOST_TEST(Decide(job).accepted);
}

BOOST_AUTO_TEST_CASE(hosts_that_arrive_in_time_count) {
  AddBacklog("team", 20);
  pool.arrivals = {{1000, 9 * kRoom}};
  ApplySummary();
  BOOST_TEST(Decide(Job("team")).accepted);
}

BOOST_AUTO_TEST_CASE(jobs_accepted_since_the_summary_count) {
  AddBacklog("team", 4);
  ApplySummary();
  BOOST_TEST(Decide(Job("team")).accepted);
  fleet::job_record accepted = Job("team");
  accepted.request.steps[0].count = 500;
  subject.RecordAccepted(accepted, now);
  BOOST_TEST(!Decide(Job("team")).accepted);
  ApplySummary();
  BOOST_TEST(Decide(Job("team")).accepted);
}

// Guards against counting one job of this node for each of the others.
BOOST_AUTO_TEST_CASE(wide_job_counts_once_with_many_nodes) {
  nodes = 30;
  AddBacklog("team", 0.5);
  ApplySummary();
  fleet::job_record wide = Job("team");
  wide.request.steps[0].count = 200;
  BOOST_TEST(Decide(wide).accepted);
  subject.RecordAccepted(wide, now);
  BOOST_TEST(Decide(Job("team")).accepted);
  subject.RecordFailedContact(now);
  now += 2000;
  BOOST_TEST(Decide(Job("team")).accepted);
}

// Guards against taking a node that had no submissions for one whose leader is
// gone.
BOOST_AUTO_TEST_CASE(quiet_node_accepts_until_it_has_a_newer_summary) {
  nodes = 30;
  fleet::job_record wide = Job("team");
  wide.request.steps[0].count = 2000;
  AddBacklog("team", 2000);
  ApplySummary();
  BOOST_TEST(!Decide(wide).accepted);
  for (const bool is_empty : {false, true}) {
    if (is_empty) ApplyEmptySummary();
    BOOST_TEST(!subject.NeedsSummary(now));
    now += 60000;
    BOOST_TEST(subject.NeedsSummary(now));
    BOOST_TEST(Decide(wide).accepted);
    subject.RecordAccepted(wide, now);
    BOOST_TEST(Decide(wide).accepted);
  }
}

// Guards against accepting all or refusing all while the leader is gone.
BOOST_AUTO_TEST_CASE(old_summary_admits_what_the_pool_can_carry) {
  nodes = 10;
  AddBacklog("team", 4);
  ApplySummary();
  subject.RecordFailedContact(now);
  int accepted = 0;
  for (; now < 20000; now += 10) {
    if (!Decide(Job("team")).accepted) continue;
    subject.RecordAccepted(Job("team"), now);
    ++accepted;
  }
  // In 10 s the pool carries 1,000 jobs: 100 for each node.
  BOOST_TEST(accepted > 50);
  BOOST_TEST(accepted < 200);
}

BOOST_AUTO_TEST_CASE(empty_summary_accepts_and_is_bounded_when_it_is_old) {
  AddBacklog("team", 20);
  ApplySummary();
  ApplyEmptySummary();
  BOOST_TEST(Decide(Job("team")).accepted);
  subject.RecordFailedContact(now);
  now += 5000;
  fleet::job_record large = Job("team");
  large.request.steps[0].count = 2000;
  BOOST_TEST(Decide(large).accepted);
  subject.RecordAccepted(large, now);
  BOOST_TEST(!Decide(Job("team")).accepted);
}

// Guards against refusals because runners have not listed their runs to a new
// leader yet, and against forecasts without a known capacity.
BOOST_AUTO_TEST_CASE(capacity_of_0_after_a_takeover_is_not_believed) {
  AddBacklog("team", 4);
  pool.room_millicores = 0;
  ApplySummary(1, false);
  BOOST_TEST(Decide(Job("team")).accepted);
  pool.room_millicores = kRoom;
  ApplySummary(2);
  pool.room_millicores = 0;
  ApplySummary(3, false);
  BOOST_TEST(Decide(Job("team")).accepted);
  pool.teams[0].feasible_core_ms[0] = 20 * kRoom;
  ApplySummary(3, false);
  BOOST_TEST(!Decide(Job("team")).accepted);
}

// Guards against refusals by a leader that knows of one of its 100 runners.
BOOST_AUTO_TEST_CASE(incomplete_capacity_is_neither_used_nor_kept) {
  AddBacklog("team", 4);
  pool.room_millicores = kRoom / 100;
  ApplySummary(1, false);
  BOOST_TEST(Decide(Job("team")).accepted);
  // A takeover that reports less, without a complete summary in between.
  pool.room_millicores = kRoom / 200;
  ApplySummary(2, false);
  BOOST_TEST(Decide(Job("team")).accepted);
  pool.room_millicores = kRoom;
  ApplySummary(2);
  BOOST_TEST(Decide(Job("team")).accepted);
  pool.teams[0].feasible_core_ms[0] = 20 * kRoom;
  // More than is known: the pool has grown, by how much is not known yet.
  pool.room_millicores = 2 * kRoom;
  ApplySummary(3, false);
  BOOST_TEST(Decide(Job("team")).accepted);
  pool.room_millicores = kRoom / 2;
  ApplySummary(3, false);
  BOOST_TEST(!Decide(Job("team")).accepted);
}

BOOST_AUTO_TEST_CASE(summary_of_an_earlier_leader_or_time_is_ignored) {
  AddBacklog("team", 20);
  ApplySummary(2);
  backlog_summary old;
  old.fencing_token = 1;
  old.sequence = 100;
  BOOST_TEST(!subject.ApplySummary(old, now));
  old.pools = {pool};
  BOOST_TEST(!subject.ApplySummary(old, now));
  old.fencing_token = 2;
  old.sequence = 0;
  BOOST_TEST(!subject.ApplySummary(old, now));
  BOOST_TEST(!Decide(Job("team")).accepted);
}

BOOST_AUTO_TEST_CASE(odd_weights_and_unknown_teams_get_a_safe_decision) {
  const double infinity = std::numeric_limits<double>::infinity();
  for (const double weight : {0.0, -1.0, 1e300, infinity, std::nan("")}) {
    pool.teams.clear();
    AddBacklog("team", 20, weight);
    AddBacklog("other", 1, weight);
    ApplySummary();
    const admission_decision decision = Decide(Job("team"), weight);
    BOOST_TEST(!decision.accepted);
    BOOST_TEST(decision.retry_after_s >= 1);
    BOOST_TEST(decision.retry_after_s <= kMaxRetryAfterSeconds);
    const admission_decision unknown = Decide(Job("unknown"), weight);
    BOOST_TEST((unknown.accepted || unknown.retry_after_s >= 1));
  }
}

BOOST_AUTO_TEST_CASE(callers_are_told_different_times) {
  AddBacklog("team", 8);
  ApplySummary();
  std::map<int, int> counts;
  for (int i = 0; i < 500; ++i) {
    fleet::job_record job = Job("team", "job" + std::to_string(i));
    const admission_decision decision = Decide(job);
    BOOST_TEST(decision.retry_after_s == Decide(job).retry_after_s);
    subject.RecordRefused(job, decision);
    ++counts[decision.retry_after_s];
  }
  BOOST_TEST(counts.size() >= 5u);
}

// Guards against a burst that is told to come back in the same second.
BOOST_AUTO_TEST_CASE(longest_times_are_spread_as_well) {
  AddBacklog("team", 300);
  ApplySummary();
  std::map<int, int> counts;
  for (int i = 0; i < 500; ++i) {
    ++counts[Decide(Job("team", "job" + std::to_string(i))).retry_after_s];
  }
  BOOST_TEST(counts.size() >= 10u);
  BOOST_TEST(counts.begin()->first > kMaxRetryAfterSeconds / 2);
  BOOST_TEST(counts.rbegin()->first <= kMaxRetryAfterSeconds);
  for (const auto& [second, count] : counts) BOOST_TEST(count < 100);
}

// Guards against one odd value of a configuration or a job that makes all nodes
// reject the whole summary.
BOOST_AUTO_TEST_CASE(odd_values_reach_nodes_within_limits) {
  const double infinity = std::numeric_limits<double>::infinity();
  for (const double odd : {-1e300, -1.0, 1e300, infinity, std::nan("")}) {
    pool.teams.clear();
    team_backlog& team = AddBacklog("team", 1, odd);
    team.claim.priority = -3;
    team.late_core_ms = odd;
    team.feasible_core_ms[2] = odd;
    team.limit_millicores = odd;
    pool.queues = {{"queue", odd, odd}};
    pool.capacity.memory_mb = std::numeric_limits<std::int64_t>::max();
    pool.arrivals = {{std::numeric_limits<millis>::max(), odd}};
    backlog_summary summary;
    summary.fencing_token = 1;
    summary.sequence = ++sequence;
    summary.pools = {pool, pool};
    summary.pools[1].pool = "second";
    AddArrivingHosts({}, 1000, summary);
    summary.pools[0].arrivals.push_back(pool.arrivals[0]);
    const auto decoded = DecodeBacklog(EncodeBacklog(summary));
    BOOST_REQUIRE(Ok(decoded));
    const team_backlog& received = Value(decoded).pools[0].teams[0];
    BOOST_TEST(received.claim.priority == -3);
    BOOST_TEST(received.late_core_ms >= 0);
    BOOST_TEST(received.limit_millicores >= -1);
    BOOST_TEST(received.feasible_core_ms[0] == kRoom);
    BOOST_TEST(subject.ApplySummary(Value(decoded), now));
    fleet::job_record job = Job("team");
    job.request.steps[0].estimate_ms = 1'000'000'000'000'000'000;
    const admission_decision decision = Decide(job);
    BOOST_TEST(decision.forecast_ms >= 0);
    BOOST_TEST((decision.accepted || decision.retry_after_s >= 1));
  }
  const auto work = DecodeRefusedWork(EncodeRefusedWork(
      std::vector<returning_work>{{"pool", {"team", -3}, 1e300, 1000}}));
  BOOST_REQUIRE(Ok(work));
  BOOST_TEST(Value(work)[0].claim.priority == -3);
}

BOOST_AUTO_TEST_CASE(damaged_summaries_are_rejected) {
  AddBacklog("team", 8);
  backlog_summary summary;
  summary.pools = {pool};
  const std::string text = EncodeBacklog(summary);
  const auto decoded = DecodeBacklog(text);
  BOOST_REQUIRE(Ok(decoded));
  BOOST_TEST(EncodeBacklog(Value(decoded)) == text);
  for (std::size_t length = 0; length < text.size(); ++length) {
    BOOST_TEST(!Ok(DecodeBacklog(text.substr(0, length))));
  }
  for (const auto& [part, replacement] : std::map<std::string, std::string>{
           {R"("room":100000)", R"("room":-1)"},
           {R"("team",0)", R"("team",-3000000000)"},
           {R"("team",0,)", R"("team",3000000000,)"},
           {R"("team",0)", R"(7,0)"},
           {"800000", "1e300"},
           {R"("age_ms":0)", R"("age_ms":-5)"}}) {
    std::string damaged = text;
    const std::size_t at = damaged.find(part);
    BOOST_REQUIRE(at != std::string::npos);
    damaged.replace(at, part.size(), replacement);
    BOOST_TEST(!Ok(DecodeBacklog(damaged)), damaged);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

#define BOOST_TEST_DYN_LINK
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "tests/entry/entry_fixture.h"
#include "tests/whole_path/whole_path_fixture.h"

namespace radishwing::whole_path {
namespace {

using entry::http_answer;
using entry::WaitUntil;

std::size_t RunsOf(const whole_path_fixture& fleet, const std::string& id) {
  auto records = fleet.Records();
  return static_cast<std::size_t>(
      std::count_if(records.begin(), records.end(),
                    [&](const auto& record) { return record.id == id; }));
}

// Guards against parts that work alone but not together.
BOOST_FIXTURE_TEST_CASE(whole_path_request_with_a_key_reaches_a_runner,
                        whole_path_fixture) {
  Start();
  for (std::size_t i = 0; i < entries.size(); ++i) {
    std::string id = "id-" + std::to_string(i);
    auto answer =
        Send(i, "POST", "/sums/x?bytes=10", {{"Radishwing-Request-Id", id}});
    BOOST_TEST(answer.status == 200u);
    BOOST_TEST(answer.body.size() == 10u);
    BOOST_TEST(RunsOf(*this, id) == 1u);
    BOOST_TEST(
        Send(i, "GET", "/sums/x", {{"Authorization", "Bearer none"}}).status ==
        401u);
  }
}

// Guards against two entries that both run one identifier (I7), and against a
// repeat that is told something else than what happened to the first (I6).
BOOST_FIXTURE_TEST_CASE(whole_path_identifier_at_both_entries_runs_once,
                        whole_path_fixture) {
  Start();
  for (int i = 0; i < 10; ++i) {
    std::string id = "both-" + std::to_string(i);
    http_answer answers[2];
    std::vector<std::thread> threads;
    for (std::size_t e = 0; e < 2; ++e) {
      threads.emplace_back([&, e] {
        answers[e] = Send(e, "POST", "/sums/x?work_ms=20",
                          {{"Radishwing-Request-Id", id}});
      });
    }
    for (auto& thread : threads) thread.join();
    if (answers[0].status != 200) std::swap(answers[0], answers[1]);
    BOOST_TEST(answers[0].status == 200u);
    BOOST_TEST(answers[1].status == 409u);
    BOOST_TEST(answers[1].reason == "already_answered");
    BOOST_TEST(RunsOf(*this, id) == 1u);
  }
}

// Guards against tokens that are lent again (I4) and identifiers that run
// again (I7) while the work of a killed entry may still run.
BOOST_FIXTURE_TEST_CASE(whole_path_killed_entry_keeps_tokens_and_claims,
                        whole_path_fixture) {
  Start();
  std::vector<http_answer> answers(3);
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    threads.emplace_back([&, i] {
      answers[i] =
          Send(0, "POST", "/sums/x?work_ms=1500",
               {{"Radishwing-Request-Id", "lost-" + std::to_string(i)}});
    });
  }
  auto running = [this] {
    auto records = Records();
    return std::count_if(records.begin(), records.end(), [](const auto& r) {
      return r.id.starts_with("lost-");
    });
  };
  bool all_run = WaitUntil([&] { return running() == 3; });
  entries[0].reset();
  for (auto& thread : threads) thread.join();
  BOOST_REQUIRE(all_run);
  for (const auto& answer : answers) BOOST_TEST(answer.status == 0u);
  for (int i = 0; i < 3; ++i) {
    auto repeat = Send(1, "POST", "/sums/x?work_ms=1500",
                       {{"Radishwing-Request-Id", "lost-" + std::to_string(i)},
                        {"Radishwing-Deadline-Ms", "500"}});
    BOOST_TEST(repeat.status == 504u);
    BOOST_TEST(repeat.outcome == "unknown");
  }
  // The bound of 370 s has not passed: not even the end of the runs, of which
  // the control knows nothing, frees the tokens.
  BOOST_TEST(WaitUntil([this] {
    auto records = Records();
    return std::all_of(records.begin(), records.end(),
                       [](const auto& r) { return r.completed_ms > 0; });
  }));
  BOOST_TEST(InUse(0) >= 3u);
  BOOST_TEST(running() == 3);
}

// Guards against a withdrawn key that works on at one of the entries.
BOOST_FIXTURE_TEST_CASE(whole_path_withdrawn_key_stops_at_both_entries,
                        whole_path_fixture) {
  Start();
  with_key = false;
  Publish();
  for (std::size_t i = 0; i < entries.size(); ++i) {
    BOOST_TEST(
        WaitUntil([&] { return Send(i, "GET", "/sums/x").status == 401; }));
    BOOST_TEST(Send(i, "GET", "/sums/x").reason == "invalid_key");
  }
}

// Guards against two entries that exceed a team's upper limit together (I4).
BOOST_FIXTURE_TEST_CASE(whole_path_upper_limit_holds_over_both_entries,
                        whole_path_fixture) {
  upper_limit = 3;
  Start();
  std::atomic<int> answered{0};
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < 16; ++i) {
    threads.emplace_back([&, i] {
      for (int n = 0; n < 10; ++n) {
        if (Send(i % 2, "GET", "/sums/x?work_ms=20").status == 200) ++answered;
      }
    });
  }
  for (auto& thread : threads) thread.join();
  BOOST_TEST(answered == 160);
  // At equal times an end counts before a start: the clock has milliseconds.
  std::vector<std::pair<millis, int>> changes;
  for (const auto& record : Records()) {
    BOOST_TEST(record.completed_ms > 0);
    changes.emplace_back(record.started_ms, 1);
    changes.emplace_back(record.completed_ms, -1);
  }
  std::sort(changes.begin(), changes.end());
  int running = 0;
  int most = 0;
  for (const auto& change : changes) {
    running += change.second;
    most = std::max(most, running);
  }
  BOOST_TEST(most <= 3);
  BOOST_TEST(most >= 2);
}

}  // namespace
}  // namespace radishwing::whole_path

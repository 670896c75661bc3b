#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/entry/entry_fixture.h"

namespace radishwing::entry {
namespace {

using fake::runner_fault_mode;

constexpr int kThreads = 10;
constexpr int kEach = 1000;  // Requests per thread.
constexpr std::uint64_t kRequests = 500;

// Guards against giving up, or running twice, when nothing was sent.
BOOST_FIXTURE_TEST_CASE(runner_refuses_other_runner_serves, entry_fixture) {
  Start(2);
  runners[0]->SetFault({runner_fault_mode::kRefuse});
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Send("POST", "/sums/x").status == 200u);
  }
  BOOST_TEST(runners[1]->Records().size() == 20u);
}

// Guards against a second run of a request that may have been run, and
// against a claim that such a request was not run.
BOOST_FIXTURE_TEST_CASE(runner_dies_before_answer_unmarked_is_unknown,
                        entry_fixture) {
  Start(2);
  for (auto& runner : runners) {
    runner->SetFault({runner_fault_mode::kDieBefore});
  }
  http_answer answer = Send("POST", "/sums/x");
  BOOST_TEST(answer.status == 502u);
  BOOST_TEST(answer.outcome == "unknown");
  BOOST_TEST(answer.reason == "runner_failed");
  BOOST_TEST(Runs() == 1u);
}

BOOST_FIXTURE_TEST_CASE(runner_dies_before_answer_idempotent_is_retried,
                        entry_fixture) {
  Start(2);
  runners[0]->SetFault({runner_fault_mode::kDieBefore});
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(SendIdempotent("/sums/x").status == 200u);
  }
}

// Guards against a truncated response that looks complete.
BOOST_FIXTURE_TEST_CASE(runner_dies_during_answer_caller_sees_break,
                        entry_fixture) {
  Start(1);
  runners[0]->SetFault({runner_fault_mode::kDieDuring});
  BOOST_TEST(SendIdempotent("/sums/x?bytes=1000").status == 0u);
  BOOST_TEST(Runs() == 1u);
}

// Guards against reuse of a connection that the runner has closed.
BOOST_FIXTURE_TEST_CASE(runner_dies_after_answer_next_uses_new_connection,
                        entry_fixture) {
  Start(1);
  runners[0]->SetFault({runner_fault_mode::kDieAfter});
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(SendIdempotent("/sums/x").status == 200u);
  }
}

// Guards against a late response that reaches another request (I5).
BOOST_FIXTURE_TEST_CASE(runner_answers_late_next_gets_its_own_answer,
                        entry_fixture) {
  Start(1);
  runners[0]->SetFault({runner_fault_mode::kLate, 300});
  http_answer late = Send(
      "GET", "/sums/x",
      {{"Radishwing-Request-Id", "first"}, {"Radishwing-Deadline-Ms", "50"}});
  BOOST_TEST(late.status == 504u);
  BOOST_TEST(late.outcome == "unknown");
  runners[0]->SetFault({});
  http_answer next =
      Send("GET", "/sums/x", {{"Radishwing-Request-Id", "second"}});
  BOOST_TEST(next.body == "ok second\n");
  BOOST_TEST(runners[0]->Connections() == 2u);
}

// Guards against waiting for ever on a connection that went silent, and
// against using it again.
BOOST_FIXTURE_TEST_CASE(runner_connection_silent_is_replaced, entry_fixture) {
  Start(1);
  BOOST_TEST(Send("GET", "/sums/x").status == 200u);
  runners[0]->SetFault({runner_fault_mode::kSilent});
  http_answer silent =
      Send("GET", "/sums/x", {{"Radishwing-Deadline-Ms", "100"}});
  BOOST_TEST(silent.status == 504u);
  BOOST_TEST(Send("GET", "/sums/x").status == 200u);
  BOOST_TEST(runners[0]->Connections() == 2u);
}

// Guards against new work for a runner that said it is leaving (I8).
BOOST_FIXTURE_TEST_CASE(runner_leaving_gets_no_more_work, entry_fixture) {
  Start(2);
  runners[0]->SetFault({runner_fault_mode::kLeave});
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(Send("GET", "/sums/x").status == 200u);
  }
  BOOST_TEST(runners[0]->Attempts() <= 1u);
}

// Guards against a runner that attracts work by failing it quickly.
BOOST_FIXTURE_TEST_CASE(runner_failing_everything_is_ejected, entry_fixture) {
  Start(2);
  runners[0]->SetFault({runner_fault_mode::kFailAll});
  for (int i = 0; i < 50; ++i) SendIdempotent("/sums/x");
  BOOST_TEST(runners[0]->Attempts() <= 4u);
}

// Guards against a rejection of a full runner that reaches a caller, or a
// rejected request that is lost or run twice.
BOOST_FIXTURE_TEST_CASE(runner_full_requests_wait_for_its_slots,
                        entry_fixture) {
  fake::runner_options narrow;
  narrow.slots = 2;
  AddRunner(narrow);
  infos[0].slots = 8;  // As if other entries held the rest.
  Start(0);
  std::vector<std::thread> threads;
  std::atomic<int> good{0};
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&] {
      if (Send("POST", "/sums/x?work_ms=20").status == 200) ++good;
    });
  }
  for (auto& thread : threads) thread.join();
  BOOST_TEST(good == 8);
  BOOST_TEST(Runs() == 8u);
}

// Guards against a body that is sent again although only its start is kept.
BOOST_FIXTURE_TEST_CASE(runner_dies_in_upload_is_unknown_without_retry,
                        entry_fixture) {
  Start(2);
  for (auto& runner : runners) {
    runner->SetFault({runner_fault_mode::kDieBefore});
  }
  http_answer answer =
      Send("POST", "/sums/x", {{"Radishwing-Idempotent", "true"}},
           std::string(1000000, 'x'));
  BOOST_TEST(answer.status == 502u);
  BOOST_TEST(answer.outcome == "unknown");
  BOOST_TEST(Runs() == 1u);
}

// The death of a runner costs idempotent callers no request.
BOOST_FIXTURE_TEST_CASE(runner_killed_half_way_no_idempotent_request_fails,
                        entry_fixture) {
  token_limit = 64;
  Start(4);
  std::atomic<int> sent{0};
  std::atomic<int> failed{0};
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&] {
      http_caller caller = Caller();
      for (int i = 0; i < kEach; ++i) {
        if (++sent == kThreads * kEach / 2) runners[0]->Kill();
        auto answer = caller.Send("GET", "/sums/x",
                                  {{"Authorization", "Bearer key-uva"},
                                   {"Radishwing-Idempotent", "true"}});
        if (answer.status != 200) ++failed;
      }
    });
  }
  for (auto& thread : threads) thread.join();
  BOOST_TEST(failed == 0);
}

// Attempts stay at most 1.2 times the requests while half the runners are
// down, whichever way they fail.
BOOST_FIXTURE_TEST_CASE(runners_half_down_attempts_are_bounded, entry_fixture) {
  Start(8);
  for (std::size_t i = 0; i < 4; ++i) {
    runners[i]->SetFault(
        {i < 2 ? runner_fault_mode::kRefuse : runner_fault_mode::kDieBefore});
  }
  for (std::uint64_t i = 0; i < kRequests; ++i) {
    BOOST_TEST(SendIdempotent("/sums/x").status == 200u);
  }
  std::uint64_t attempts = server->Attempts();
  BOOST_TEST(attempts <= kRequests * 12 / 10);
  BOOST_TEST(attempts >= kRequests);
}

}  // namespace
}  // namespace radishwing::entry

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/entry/entry_fixture.h"

namespace radishwing::entry {
namespace {

using requests::claim_answer;
using requests::claim_state;
using requests::outcome;

// Guards against a second run under one identifier (I7).
BOOST_FIXTURE_TEST_CASE(claim_same_identifier_twice_runs_once, entry_fixture) {
  Start(2);
  http_answer first;
  std::thread running([&] {
    first = Send("POST", "/sums/x?work_ms=100",
                 {{"Radishwing-Request-Id", "same"}});
  });
  WaitUntil([this] { return Runs() == 1; });
  http_answer repeat =
      Send("POST", "/sums/x?work_ms=100", {{"Radishwing-Request-Id", "same"}});
  running.join();
  BOOST_TEST(first.status == 200u);
  BOOST_TEST(repeat.status == 409u);
  BOOST_TEST(repeat.reason == "already_answered");
  BOOST_TEST(repeat.outcome == "");
  BOOST_TEST(Runs() == 1u);
  auto finished = Finished();
  BOOST_REQUIRE(finished.size() == 1u);
  BOOST_TEST((finished[0].outcome == outcome::kAnswered));
}

struct claim_case {
  claim_answer answer;
  const char* attempt;
  unsigned status;
  const char* outcome;
};

// Guards against "not run" for an identifier that may have been run (I6).
BOOST_FIXTURE_TEST_CASE(claim_answers_decide_the_response, entry_fixture) {
  const claim_case cases[] = {
      {{claim_state::kUnavailable}, "2", 504, "unknown"},
      {{claim_state::kUnavailable}, "1", 503, "not-run"},
      {{claim_state::kConflict}, "1", 409, "not-run"},
      {{claim_state::kFinished, outcome::kUnknown, 504}, "2", 504, "unknown"},
      {{claim_state::kFinished, outcome::kNotRun, 503}, "2", 503, "not-run"},
  };
  claim_answer next;
  on_claim = [&](const requests::claim&) { return next; };
  Start(1);
  for (const claim_case& c : cases) {
    next = c.answer;
    http_answer answer = Send(
        "POST", "/sums/x",
        {{"Radishwing-Request-Id", "id"}, {"Radishwing-Attempt", c.attempt}});
    BOOST_TEST(answer.status == c.status);
    BOOST_TEST(answer.outcome == c.outcome);
  }
  BOOST_TEST(Runs() == 0u);
}

// Guards against a run after the first request's claim was forgotten while
// this one waited for it.
BOOST_FIXTURE_TEST_CASE(claim_fresh_after_a_wait_does_not_run, entry_fixture) {
  int asked = 0;
  on_claim = [&](const requests::claim&) {
    claim_answer answer;
    answer.state = asked++ == 0 ? claim_state::kRunning : claim_state::kFresh;
    return answer;
  };
  Start(1);
  http_answer answer =
      Send("POST", "/sums/x", {{"Radishwing-Request-Id", "id"}});
  BOOST_TEST(answer.status == 504u);
  BOOST_TEST(answer.outcome == "unknown");
  BOOST_TEST(Runs() == 0u);
}

// Guards against an identifier that can never be tried again although its
// request was not run, and against teams that meet in one identifier.
BOOST_FIXTURE_TEST_CASE(claim_of_a_request_not_run_can_be_made_again,
                        entry_fixture) {
  settings.teams["tud"] = Team();
  settings.teams["tud"].keys = {{"k2", Sha256Hex("key-tud")}};
  std::vector<requests::claim> claims;
  std::vector<requests::claim> ends;
  on_claim = [&](const requests::claim& claim) {
    claims.push_back(claim);
    // The second one waits for the first and learns that it was not run.
    bool repeat = claims.size() > 1;
    return claims.size() == 2
               ? claim_answer{claim_state::kRunning}
               : claim_answer{claim_state::kFresh,
                              repeat ? outcome::kNotRun : outcome::kNone, 0};
  };
  port.finish = [&](std::string_view id, std::string_view owner, outcome,
                    std::uint16_t) {
    ends.push_back({std::string(id), {}, {}, std::string(owner)});
  };
  Start(0);
  auto send = [&](const char* key, const char* deadline) {
    return Send("POST", "/sums/x",
                {{"Authorization", key},
                 {"Radishwing-Request-Id", "again"},
                 {"Radishwing-Deadline-Ms", deadline}});
  };
  BOOST_TEST(send("Bearer key-uva", "20").outcome == "not-run");
  AddRunner();
  PushSnapshot();
  BOOST_TEST(send("Bearer key-uva", "20000").status == 200u);
  BOOST_TEST(send("Bearer key-tud", "20000").status == 200u);
  server.reset();
  BOOST_REQUIRE(claims.size() == 4u);
  BOOST_REQUIRE(ends.size() == 3u);
  BOOST_TEST(claims[2].request_id == "uva/again");
  BOOST_TEST(claims[3].request_id == "tud/again");
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(claims[i].owner != claims[i + 1].owner);
    BOOST_TEST(ends[i].owner == claims[i == 0 ? 0 : i + 1].owner);
    BOOST_TEST(ends[i].request_id == claims[i == 0 ? 0 : i + 1].request_id);
  }
}

// Guards against a cancelled request that is reported as not run, and against
// its token being used again while the runner may still run it (I4).
BOOST_FIXTURE_TEST_CASE(cancel_running_request_is_unknown_and_keeps_its_token,
                        entry_fixture) {
  token_limit = 1;
  Start(2);
  http_answer cancelled;
  std::thread running([&] {
    cancelled = Send("POST", "/sums/x?work_ms=400",
                     {{"Radishwing-Request-Id", "victim"}});
  });
  WaitUntil([this] { return Runs() == 1; });
  BOOST_TEST(Send("DELETE", "/radishwing/requests/victim").status == 200u);
  running.join();
  BOOST_TEST(cancelled.status == 502u);
  BOOST_TEST(cancelled.outcome == "unknown");
  BOOST_TEST(Send("GET", "/sums/x").status == 200u);
  std::vector<fake::run_record> records;
  for (auto& runner : runners) {
    for (auto& record : runner->Records()) records.push_back(record);
  }
  BOOST_REQUIRE(records.size() == 2u);
  if (records[0].started_ms > records[1].started_ms) {
    std::swap(records[0], records[1]);
  }
  BOOST_TEST(records[0].completed_ms > 0);
  BOOST_TEST(records[1].started_ms >= records[0].completed_ms);
  BOOST_TEST(Send("DELETE", "/radishwing/requests/none").status == 404u);
}

// Guards against work for a caller that has gone, and a claim left open.
BOOST_FIXTURE_TEST_CASE(cancel_by_closing_finishes_the_claim, entry_fixture) {
  Start(1);
  http_caller caller = Caller();
  caller.SendRaw(
      "POST /sums/x?work_ms=5000 HTTP/1.1\r\nAuthorization: Bearer key-uva\r\n"
      "Radishwing-Request-Id: gone\r\n\r\n");
  WaitUntil([this] { return Runs() == 1; });
  caller.Close();
  BOOST_TEST(WaitUntil([this] { return !Finished().empty(); }));
  BOOST_TEST((Finished()[0].outcome == outcome::kUnknown));
}

}  // namespace
}  // namespace radishwing::entry

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/entry/entry_fixture.h"

namespace radishwing::entry {
namespace {

struct refusal {
  const char* text;
  unsigned status;
  const char* reason;
};

// Guards against work without a right to it, and against refusals that say
// less than docs/api.md promises.
BOOST_FIXTURE_TEST_CASE(admission_refusals_have_status_and_reason,
                        entry_fixture) {
  settings.teams["eth"].keys.push_back({"k", Sha256Hex("key-eth")});
  settings.services["closed"].pool = "main";
  settings.services["closed"].teams = {"eth"};
  Service().max_body_bytes = 100;
  Start(1);
  const std::string key = "Authorization: Bearer key-uva\r\n";
  const std::string huge(17000, 'a');
  const refusal refusals[] = {
      {"GET /none/x HTTP/1.1\r\n\r\n", 404, "unknown_service"},
      {"GET /sums/x HTTP/1.1\r\n\r\n", 401, "missing_key"},
      {"GET /sums/x HTTP/1.1\r\nAuthorization: Bearer no\r\n\r\n", 401,
       "invalid_key"},
      {"GET /closed/x HTTP/1.1\r\nAuthorization: Bearer key-uva\r\n\r\n", 403,
       "team_not_admitted"},
      {"GET /sums/x HTTP/1.1\r\nAuthorization: Bearer key-uva\r\n"
       "Radishwing-Class: urgent\r\n\r\n",
       403, "class_not_allowed"},
      {"GET /sums/x HTTP/1.1\r\nRadishwing-Deadline-Ms: 0\r\n\r\n", 400,
       "malformed_header"},
      {"POST /sums/x HTTP/1.1\r\nAuthorization: Bearer key-uva\r\n"
       "Content-Length: 101\r\n\r\n",
       413, "body_too_large"},
      {"GET\r\n\r\n", 400, "malformed_request"},
  };
  for (const refusal& expected : refusals) {
    http_caller caller = Caller();
    caller.SendRaw(expected.text);
    http_answer answer = caller.Receive();
    BOOST_TEST(answer.status == expected.status);
    BOOST_TEST(answer.reason == expected.reason);
    BOOST_TEST(answer.outcome == "not-run");
  }
  http_caller caller = Caller();
  caller.SendRaw("GET /sums/x HTTP/1.1\r\nX: " + huge + "\r\n\r\n");
  BOOST_TEST(caller.Receive().status == 431u);
  BOOST_TEST(Runs() == 0u);
}

// Guards against slow senders that hold connections and slots.
BOOST_FIXTURE_TEST_CASE(admission_slow_sender_is_cut, entry_fixture) {
  options.header_timeout_ms = 50;
  options.idle_part_timeout_ms = 50;
  Start(1);
  http_caller header = Caller();
  header.SendRaw("GET /sums/x HT");
  BOOST_TEST(header.Receive().status == 408u);
  http_caller body = Caller();
  body.SendRaw(
      "POST /sums/x HTTP/1.1\r\nAuthorization: Bearer key-uva\r\n"
      "Content-Length: 100\r\n\r\nabc");
  http_answer answer = body.Receive();
  BOOST_TEST(answer.status == 408u);
  BOOST_TEST(answer.outcome == "not-run");
  BOOST_TEST(Runs() == 0u);
}

// Guards against a revoked key that works on, or lets queued work start.
BOOST_FIXTURE_TEST_CASE(admission_key_revoked_under_load_stops_working,
                        entry_fixture) {
  token_limit = 1;
  Start(1);
  http_answer in_flight;
  std::thread running([&] { in_flight = Send("GET", "/sums/x?work_ms=300"); });
  WaitUntil([this] { return Runs() == 1; });
  http_answer queued;
  std::thread waiting([&] { queued = Send("GET", "/sums/x"); });
  WaitUntil([this] {
    auto report = server->MakeReport();
    return !report.usage.empty() && report.usage[0].queued == 1;
  });
  settings.revision = 2;
  Team().keys.clear();
  PushSnapshot();
  BOOST_TEST(Send("GET", "/sums/x").status == 401u);
  waiting.join();
  running.join();
  // What was in flight when the key was revoked runs to its end.
  BOOST_TEST(in_flight.status == 200u);
  BOOST_TEST(queued.status == 401u);
  BOOST_TEST(queued.outcome == "not-run");
  BOOST_TEST(Runs() == 1u);
}

// Guards against an unbounded queue, and against blaming the fleet for a
// team's own limit.
BOOST_FIXTURE_TEST_CASE(admission_queue_full_team_at_limit_gets_429,
                        entry_fixture) {
  Service().queue_limit = 1;
  token_limit = 0;
  Start(1);
  http_answer late;
  std::thread waiting([&] {
    late = Send("GET", "/sums/x", {{"Radishwing-Deadline-Ms", "400"}});
  });
  WaitUntil([this] {
    auto report = server->MakeReport();
    return !report.usage.empty() && report.usage[0].queued == 1;
  });
  http_answer answer = Send("GET", "/sums/x");
  waiting.join();
  BOOST_TEST(late.status == 503u);
  BOOST_TEST(late.reason == "deadline_in_queue");
  BOOST_TEST(late.outcome == "not-run");
  BOOST_TEST(answer.status == 429u);
  BOOST_TEST(answer.headers["Retry-After"] == "1");
  BOOST_TEST(Runs() == 0u);
}

// Guards against a request that waits for an operation nobody will do.
BOOST_FIXTURE_TEST_CASE(admission_link_ring_full_is_rejected, entry_fixture) {
  port.acquire_tokens = [](std::string_view, std::uint32_t, auto completion) {
    completion(failure{failure_kind::kFull, "full"});
  };
  Start(1);
  http_answer answer = Send("GET", "/sums/x");
  BOOST_TEST(answer.status == 503u);
  BOOST_TEST(answer.reason == "link_busy");
  BOOST_TEST(answer.outcome == "not-run");
}

// Guards against serving a team that wants to be refused, or serving for
// ever, while the data centre cannot confirm its settings.
BOOST_FIXTURE_TEST_CASE(admission_cut_off_follows_the_team_policy,
                        entry_fixture) {
  Team().cut_off_grace_seconds = 100;
  Start(1);
  cut_off_ms = 99000;
  PushSnapshot();
  BOOST_TEST(Send("GET", "/sums/x").status == 200u);
  cut_off_ms = 101000;
  PushSnapshot();
  BOOST_TEST(Send("GET", "/sums/x").reason == "cut_off");
  cut_off_ms = 1;
  Team().when_cut_off = settings::cut_off_policy::kRefuse;
  PushSnapshot();
  BOOST_TEST(Send("GET", "/sums/x").reason == "cut_off");
}

// Guards against queued work that starts with tokens which the control has
// given to others, because the process was paused for longer than the grace
// and has not noticed the end of its session (I4).
BOOST_FIXTURE_TEST_CASE(admission_paused_entry_starts_no_queued_work,
                        entry_fixture) {
  std::atomic<millis> now{1000000};
  options.time = clock([&] { return now.load(); });
  Team().cut_off_grace_seconds = 100;
  Service().longest_run_seconds = 3600;
  token_limit = 1;
  Start(1);
  server->OnContact(now);
  const std::map<std::string, std::string> patient{
      {"Radishwing-Deadline-Ms", "3600000"}};
  http_answer in_flight;
  std::thread running(
      [&] { in_flight = Send("GET", "/sums/x?work_ms=500", patient); });
  bool started = WaitUntil([this] { return Runs() == 1; });
  http_answer queued;
  std::thread waiting([&] { queued = Send("GET", "/sums/x", patient); });
  bool waits = WaitUntil([&] {
    now += 1;  // Reports follow the clock.
    auto report = server->MakeReport();
    return !report.usage.empty() && report.usage[0].queued == 1;
  });
  now += 101000;
  running.join();
  waiting.join();
  BOOST_TEST((started && waits));
  BOOST_TEST(in_flight.status == 200u);
  BOOST_TEST(queued.reason == "cut_off");
  BOOST_TEST(queued.outcome == "not-run");
  BOOST_TEST(Runs() == 1u);
  server->OnContact(now);
  BOOST_TEST(Send("GET", "/sums/x").status == 200u);
}

// Guards against a planned stop that interrupts work or keeps tokens (I9).
BOOST_FIXTURE_TEST_CASE(admission_stop_completes_work_and_returns_tokens,
                        entry_fixture) {
  Start(1);
  // Connections open before the stop: each is closed after its response.
  std::vector<http_caller> idle;
  for (int i = 0; i < 100; ++i) idle.push_back(Caller());
  http_answer in_flight;
  std::thread running([&] { in_flight = Send("GET", "/sums/x?work_ms=700"); });
  WaitUntil([this] { return Runs() == 1; });
  std::atomic<bool> stopped{false};
  server->Stop([&] { stopped = true; });
  BOOST_TEST(!server->Ready());
  http_answer late;
  WaitUntil([&] {
    late = idle.back().Send("GET", "/sums/x",
                            {{"Authorization", "Bearer key-uva"}});
    idle.pop_back();
    return late.status != 200 || idle.empty();
  });
  BOOST_TEST(late.reason == "stopping");
  running.join();
  BOOST_TEST(in_flight.status == 200u);
  BOOST_TEST(WaitUntil([&] { return stopped.load(); }));
  BOOST_TEST(TokensOut() == 0u);
}

}  // namespace
}  // namespace radishwing::entry

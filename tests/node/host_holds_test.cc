#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <random>
#include <set>
#include <string>

#include "src/node/host_order_record.h"
#include "tests/node/host_controller_fixture.h"

namespace radishwing::node {
namespace {
namespace data = boost::unit_test::data;

// Who sent the order that is open: an earlier leader, or the subject.
const auto kOrigins = data::make({"inherited", "own"});
const auto kKinds = data::make({"move", "maintenance"});
// The runner that the list shows on the host while the order is open. "late" is
// a new one that registers after the list shows it.
const auto kRunners = data::make({"old", "new", "late"});

/// The host h1 with an order that may still be carried out.
struct host_holds_fixture : host_controller_fixture {
  host_holds_fixture() {
    for (const char* other : {"h2", "h3", "h4"}) hosts.erase(other);
    RegisterRunner(kOldRunner);
  }

  /// Makes the subject have an order to h1 that got no response.
  void OpenOrder(const std::string& origin, const std::string& kind) {
    const bool is_move = kind == "move";
    if (origin == "inherited") {
      const host_order order{kOldRunner, is_move ? "pool" : "",
                             is_move ? 0 : 1};
      store.Put(HostOrdersKey(), EncodeHostOrders({{"h1", order}}));
      StartTerm();
    } else if (is_move) {
      AddWaitingJob(1);
    }
    if (!is_move) {
      subject->AddWave({.number = 1,
                        .hosts = {"h1"},
                        .time_limit_ms = 60000,
                        .max_down = 1});
    }
    if (origin == "inherited") return;
    while (orders.empty()) Tick();
    RemoveWaitingJob();
    AnswerOrders(500);
  }

  /// Makes the list show the given runner on h1, and lets it register.
  void ListRunner(const std::string& runner) {
    if (runner == "old") return;
    hosts.at("h1").runner = kNewRunner;
    if (runner == "new") RegisterRunner(kNewRunner);
    Tick();
    Tick();
    if (runner == "late") RegisterRunner(kNewRunner);
  }

  /// Waits until the order is repeated, and checks that the host is held back.
  void AwaitRepeat() {
    for (int i = 0; i < 10 && orders.empty(); ++i) Tick();
    BOOST_REQUIRE_EQUAL(orders.size(), 1u);
    BOOST_TEST(IsHeld(hosts.at("h1").runner));
  }

  /// Carries out some of the orders that were not answered: the hosts get new
  /// runners, of which some register at once.
  void RestartOrderedHosts(std::mt19937& random) {
    for (std::size_t i = 0; i < orders.size(); ++i) {
      const auto& name = ordered_hosts.at(ordered_hosts.size() - 1 - i);
      restarted.insert(name);
      hosts.at(name).runner = "r-" + std::to_string(++started_runners);
      if (random() % 2 == 0) hosts.at(name).pool = "pool";
      if (random() % 3 > 0) RegisterRunner(hosts.at(name).runner);
    }
  }

  bool IsHeld(const std::string& runner) const {
    const sched::runner_state* state = scheduler.FindRunner(runner);
    return state && state->cordoned;
  }

  /// Hosts that have carried out an order without a response.
  std::set<std::string> restarted;
  int started_runners =
      0;  ///< Number of runners that RestartOrderedHosts made.
  static constexpr const char* kOldRunner = "r-h1";
  static constexpr const char* kNewRunner = "r-new";
};

BOOST_FIXTURE_TEST_SUITE(host_controller_holds, host_holds_fixture)

// Each case guards against a host that gets no tasks until the next leader,
// because a runner is held back for an order that has ended in this way.

BOOST_DATA_TEST_CASE_F(host_holds_fixture,
                       host_takes_tasks_after_a_repeat_is_accepted,
                       kOrigins* kKinds* kRunners, origin, kind, runner) {
  OpenOrder(origin, kind);
  ListRunner(runner);
  AwaitRepeat();
  if (std::string(runner) == "old") {
    hosts.at("h1").runner = "r-after";
    RegisterRunner("r-after");
  }
  AnswerOrders(200);
  // The order may have been carried out just now, and a list that was requested
  // before the answer may still show the runner that it ended.
  if (std::string(runner) == "new") {
    subject->ApplyHolds();
    BOOST_TEST(IsHeld(hosts.at("h1").runner));
  }
  Tick();
  Tick();
  BOOST_TEST(!IsHeld(hosts.at("h1").runner));
}

BOOST_DATA_TEST_CASE_F(host_holds_fixture,
                       host_takes_tasks_after_a_repeat_is_not_in_the_wave,
                       kOrigins* kKinds* kRunners, origin, kind, runner) {
  OpenOrder(origin, kind);
  ListRunner(runner);
  AwaitRepeat();
  AnswerOrders(409, "wave");
  Tick();
  BOOST_TEST(!IsHeld(hosts.at("h1").runner));
  BOOST_TEST(!IsHeld(kOldRunner));
}

BOOST_DATA_TEST_CASE_F(host_holds_fixture,
                       host_takes_tasks_after_a_repeat_is_invalid,
                       kOrigins* kKinds* kRunners, origin, kind, runner) {
  OpenOrder(origin, kind);
  ListRunner(runner);
  AwaitRepeat();
  AnswerOrders(400);
  Tick();
  BOOST_TEST(!IsHeld(hosts.at("h1").runner));
  BOOST_TEST(!IsHeld(kOldRunner));
}

// Another leader orders the hosts. What becomes of the order is not known.
BOOST_DATA_TEST_CASE_F(host_holds_fixture,
                       host_is_held_after_a_repeat_is_refused_for_its_token,
                       kOrigins* kKinds* kRunners, origin, kind, runner) {
  OpenOrder(origin, kind);
  ListRunner(runner);
  AwaitRepeat();
  AnswerOrders(409, "fence");
  time.Advance(kListIntervalMs);
  subject->Tick();
  BOOST_TEST(IsHeld(hosts.at("h1").runner));
}

BOOST_DATA_TEST_CASE_F(host_holds_fixture,
                       host_takes_tasks_after_its_order_is_known_as_done,
                       kKinds* kRunners, kind, runner) {
  if (std::string(kind) == "move") {
    hosts.at("h1").pool = "pool";
    permitted = false;  // No repeat is sent.
  } else {
    store.Put(WaveKey(1), R"(["h1"])");
  }
  OpenOrder("inherited", kind);
  ListRunner(runner);
  for (int i = 0; i < 8; ++i) Tick();
  BOOST_TEST(!IsHeld(hosts.at("h1").runner));
  BOOST_TEST(!IsHeld(kOldRunner));
}

BOOST_DATA_TEST_CASE_F(host_holds_fixture,
                       runner_is_released_after_its_host_is_gone,
                       kOrigins* kKinds* kRunners, origin, kind, runner) {
  OpenOrder(origin, kind);
  permitted = false;  // No repeat is sent.
  ListRunner(runner);
  const std::string listed = hosts.at("h1").runner;
  hosts.erase("h1");
  hosts["h2"] = {.runner = "r-h2"};
  Tick();
  permitted = true;
  Tick();
  Tick();
  BOOST_TEST(!IsHeld(listed));
  BOOST_TEST(!IsHeld(kOldRunner));
}

// A list that shows the host with a new runner in its new pool proves that the
// move was carried out.
BOOST_DATA_TEST_CASE_F(host_holds_fixture,
                       takeover_does_not_repeat_a_move_that_is_listed_as_done,
                       data::make({"new", "late"}), runner) {
  hosts.at("h1").pool = "pool";
  OpenOrder("inherited", "move");
  ListRunner(runner);
  for (int i = 0; i < 5; ++i) Tick();
  BOOST_TEST(ordered_hosts.empty());
}

// Guards against maintenance orders, and stops of tasks for them, that only
// repeat what the predecessor knew to be done.
BOOST_AUTO_TEST_CASE(takeover_reads_the_progress_of_a_wave_before_it_repeats) {
  store.Put(WaveKey(1), R"(["h1"])");
  OpenOrder("inherited", "maintenance");
  for (int i = 0; i < 4; ++i) Tick();
  BOOST_TEST(ordered_hosts.empty());
}

// Guards against a successor that takes a completed order for an open one.
BOOST_DATA_TEST_CASE_F(host_holds_fixture,
                       accepted_order_leaves_the_record_with_the_next_tick,
                       kKinds, kind) {
  OpenOrder("inherited", kind);
  AwaitRepeat();
  for (const auto& respond : std::exchange(orders, {})) {
    respond(http::MakeJsonResponse(200, boost::json::object{}));
  }
  RunRoundTrips();
  subject->Tick();
  RunRoundTrips();
  BOOST_TEST(store.Value(HostOrdersKey()) == "[]");
}

// Guards against hosts that get no tasks, and against tasks on hosts with an
// order that may still be carried out, after any sequence of answers, restarts
// of hosts and takeovers.
BOOST_DATA_TEST_CASE_F(host_holds_fixture,
                       every_host_takes_tasks_after_a_random_sequence,
                       data::xrange(20), seed) {
  std::mt19937 random(static_cast<unsigned>(seed));
  hosts["h2"] = {.runner = "r-h2"};
  hosts["h3"] = {.runner = "r-h3"};
  const auto add_wave = [this] {
    subject->AddWave({.number = 1,
                      .hosts = {"h1", "h2"},
                      .time_limit_ms = 60000,
                      .max_down = 1});
  };
  add_wave();
  for (int step = 0; step < 60; ++step) {
    if (step == 10) AddWaitingJob(2);
    if (step == 30) RemoveWaitingJob();
    Tick();
    subject->ApplyHolds();  // As the leader does before each pass.
    for (std::size_t i = 0; i < orders.size(); ++i) {
      const std::string host = ordered_hosts.at(ordered_hosts.size() - 1 - i);
      const std::string runner = hosts.at(host).runner;
      BOOST_TEST((restarted.contains(host) || !scheduler.FindRunner(runner) ||
                  IsHeld(runner)));
    }
    if (random() % 2 == 0) RestartOrderedHosts(random);
    static constexpr int kStatuses[] = {200, 500, 400, 409};
    static constexpr const char* kReasons[] = {"busy", "wave"};
    if (random() % 2 == 0) {
      AnswerOrders(kStatuses[random() % 4], kReasons[random() % 2]);
      restarted.clear();
    }
    if (random() % 12 == 0) {
      orders.clear();
      restarted.clear();
      StartTerm();
      add_wave();
    }
  }
  for (int i = 0; i < 20; ++i) AnswerOrders(200);
  for (const auto& [name, host] : hosts) {
    BOOST_TEST(!IsHeld(host.runner), name << " gets no tasks");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

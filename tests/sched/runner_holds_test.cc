#include "src/sched/runner_holds.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "src/sched/host_audit.h"
#include "src/sched/scheduler.h"

namespace radishwing::sched {
namespace {

struct runner_holds_fixture {
  /// Returns the state of a runner that can take tasks.
  static runner_state UsableRunner() {
    runner_state runner;
    runner.listed = runner.reachable = runner.recorded = true;
    return runner;
  }

  static runner_holds Derive(const std::vector<host_claim>& claims) {
    return DeriveRunnerHolds(claims);
  }
};

BOOST_FIXTURE_TEST_SUITE(runner_holds_derivation, runner_holds_fixture)

// An order that may still be carried out would end the tasks of either runner.
BOOST_AUTO_TEST_CASE(open_order_holds_the_present_and_the_earlier_runner) {
  const runner_holds holds = Derive({{hold_reason::kOpenOrder, "new", "old"},
                                     {hold_reason::kDraining, "drained", ""}});
  BOOST_TEST(holds.size() == 3u);
  BOOST_TEST(holds.contains("new"));
  BOOST_TEST(holds.contains("old"));
  BOOST_TEST(holds.contains("drained"));
}

// Guards against a host without tasks after a move that was carried out.
BOOST_AUTO_TEST_CASE(accepted_order_does_not_hold_the_next_runner) {
  const runner_holds holds = Derive({{hold_reason::kEnding, "new", "old"}});
  BOOST_TEST(holds.size() == 1u);
  BOOST_TEST(holds.contains("old"));
}

// Guards against the end of one reason that releases a runner with another one.
BOOST_AUTO_TEST_CASE(runner_stays_held_until_its_last_reason_ends) {
  std::vector<host_claim> claims{{hold_reason::kOpenOrder, "r", "r"},
                                 {hold_reason::kUnregistered, "", "r"}};
  BOOST_TEST((Derive(claims).at("r") == hold_reason::kOpenOrder));
  claims.erase(claims.begin());
  BOOST_TEST((Derive(claims).at("r") == hold_reason::kUnregistered));
  claims.clear();
  BOOST_TEST(Derive(claims).empty());
}

BOOST_AUTO_TEST_CASE(host_without_a_runner_holds_nothing) {
  BOOST_TEST(Derive({{hold_reason::kOpenOrder, "", ""}}).empty());
}

// Guards against tasks on a runner that registers after the list of the hosts
// has shown it on a host with an open order.
BOOST_AUTO_TEST_CASE(runner_that_registers_late_is_held) {
  scheduler subject(1);
  subject.SetRunnerHolds({{"r", hold_reason::kOpenOrder}});
  fleet::runner_report report;
  report.id = "r";
  subject.AddRunner(report);
  BOOST_TEST(subject.FindRunner("r")->cordoned);
  subject.SetRunnerHolds({});
  BOOST_TEST(!subject.FindRunner("r")->cordoned);
}

BOOST_AUTO_TEST_CASE(audit_names_hosts_without_tasks_and_without_a_reason) {
  runner_state usable = UsableRunner();
  runner_state cordoned = UsableRunner();
  cordoned.cordoned = true;
  runner_state silent = UsableRunner();
  silent.reachable = false;
  const std::vector<audited_host> hosts{{"h1", &usable, false},
                                        {"h2", &cordoned, true},
                                        {"h3", &silent, false},
                                        {"h4", nullptr, false},
                                        {"h5", &cordoned, false}};
  const host_audit audit = AuditHosts(hosts);
  BOOST_TEST(audit.Count(host_use::kTakesTasks) == 1);
  BOOST_TEST(audit.Count(host_use::kHeld) == 1);
  BOOST_TEST(audit.Count(host_use::kRunnerNotReady) == 2);
  BOOST_TEST(audit.unexplained == std::vector<std::string>{"h5"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

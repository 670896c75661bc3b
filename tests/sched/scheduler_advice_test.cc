#include <boost/test/unit_test.hpp>

#include "tests/sched/scheduler_fixture.h"

namespace radishwing::sched {
namespace {

struct scheduler_advice_fixture : scheduler_fixture {
  scheduler_advice_fixture() {
    AddRunner("r1");
    AddRunner("r2");
    fleet::job_record record;
    record.id = "a";
    record.queue = "queue";
    record.pool = "pool";
    record.max_attempts = 2;
    record.stretch = 2;
    record.ticket_valid_ms = 5000;
    record.request.steps = {Step(1)};
    subject.AddJob(std::move(record), false, now, now);
  }

  /// Performs a scheduling pass and answers its advice request so that only
  /// `runner` gets a ticket.
  void AllowOnly(const std::string& runner) {
    Plan();
    const auto requests = subject.TakeAdviceRequests();
    BOOST_REQUIRE_EQUAL(requests.size(), 1u);
    subject.ApplyAdvice(requests[0], {{runner, "ticket"}}, now);
  }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_advice, scheduler_advice_fixture)

// Guards against start orders without a ticket, which every runner refuses.
BOOST_AUTO_TEST_CASE(step_starts_with_a_ticket_on_an_allowed_runner) {
  BOOST_TEST(Plan().empty());
  AllowOnly("r2");
  const auto orders = Plan();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  BOOST_TEST(orders[0].runner == "r2");
  BOOST_TEST(orders[0].ticket == "ticket");
}

BOOST_AUTO_TEST_CASE(query_names_the_step_and_its_runners) {
  Plan();
  const auto requests = subject.TakeAdviceRequests();
  BOOST_REQUIRE_EQUAL(requests.size(), 1u);
  BOOST_TEST(requests[0].step == "a.0.0");
  BOOST_TEST(requests[0].runners.size() == 2u);
}

// Guards against repeated queries about runners that the policy denies.
BOOST_AUTO_TEST_CASE(denied_runners_are_not_queried_again) {
  Plan();
  subject.ApplyAdvice(subject.TakeAdviceRequests().at(0), {}, now);
  Plan();
  BOOST_TEST(subject.TakeAdviceRequests().empty());
  AddRunner("r3");
  Plan();
  const auto requests = subject.TakeAdviceRequests();
  BOOST_REQUIRE_EQUAL(requests.size(), 1u);
  BOOST_TEST(requests[0].runners == std::vector<std::string>{"r3"});
}

BOOST_AUTO_TEST_CASE(expired_ticket_is_requested_again) {
  AllowOnly("r2");
  now += 5000;
  BOOST_TEST(Plan().empty());
  BOOST_REQUIRE_EQUAL(subject.TakeAdviceRequests().size(), 1u);
}

// Guards against start orders with a ticket that the advice service issued for
// an earlier incarnation of the runner.
BOOST_AUTO_TEST_CASE(ticket_is_dropped_when_the_runner_restarts) {
  AllowOnly("r2");
  subject.ResetRestartedRunner("r2", now, now);
  ReportListing("r2", {});
  BOOST_TEST(Plan().empty());
}

BOOST_AUTO_TEST_CASE(rejected_ticket_is_requested_again) {
  AllowOnly("r2");
  const auto orders = Plan();
  BOOST_REQUIRE_EQUAL(orders.size(), 1u);
  subject.ApplyOrderOutcome(orders[0], fleet::order_outcome::kBadTicket, now);
  now += 1000;
  BOOST_TEST(Plan().empty());
  BOOST_TEST(subject.TakeAdviceRequests().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

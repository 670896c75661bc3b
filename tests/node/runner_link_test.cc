#include "src/node/runner_link.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

#include "tests/http/http_fixture.h"

namespace radishwing::node {
namespace {

/// A runner that a test lets start again, and the leader's link to it.
struct runner_link_fixture : http::http_fixture {
  /// A poll as the runner received it.
  struct received_poll {
    std::uint64_t cursor = 0;
    bool extends_lease = false;
    millis received_at = 0;  ///< On the monotonic clock.
    millis born = 0;         ///< Incarnation that received it.
  };

  runner_link_fixture() {
    handler = [this](http::server_request request,
                     http::server::responder respond) {
      Serve(request, std::move(respond));
    };
    test_server_options.address = "127.0.0.1:0";
    StartServer();
    context.settings.max_lease_ms = 6000;
  }

  void Serve(const http::server_request& request,
             http::server::responder respond) {
    if (request.target.path == "/run-start") {
      ++received_starts;
      if (drop_starts) {
        return respond({.action = http::response_action::kNeverRespond});
      }
      return respond(http::MakeJsonResponse(200, {{"clock-ms", 500}}));
    }
    if (wrong_instance) {
      return respond(http::MakeErrorResponse(421, "wrong_instance", ""));
    }
    const auto body = boost::json::parse(request.body).as_object();
    polls.push_back({body.at("ack-cursor").to_number<std::uint64_t>(),
                     body.contains("deadline-ms"), clock::Monotonic().Now(),
                     born});
    respond(http::MakeJsonResponse(200, {{"clock-ms", 500},
                                         {"born", born},
                                         {"running", boost::json::array{}},
                                         {"ended", boost::json::array{}}}));
  }

  fleet::runner_report Report(const std::string& address) const {
    fleet::runner_report report;
    report.id = "w0";
    report.pool = "pool";
    report.address = address;
    report.started_unix_ms = born;
    return report;
  }

  void StartLink() {
    runner_link_hooks hooks;
    hooks.apply_listing = [this](const auto&, const auto&, millis) {
      return listing;
    };
    hooks.reachability_changed = [](const auto&, bool) {};
    hooks.restarted = [this](const auto&, millis) { ++restarts; };
    hooks.discard_runs = [this](const auto&) {
      ++discards;
      return true;
    };
    hooks.fenced = [] {};
    hooks.may_send_orders = [this] {
      if (!permitted) ++refused_permissions;
      return permitted;
    };
    hooks.poll_spacing = [] { return 10; };
    subject.emplace(context, 7, Report(test_server->Address()), 0, hooks);
    if (permitted) AwaitPolls();
  }

  /// Runs until the runner has received two more polls.
  void AwaitPolls() {
    const std::size_t before = polls.size();
    RunUntil([&] { return subject->Reachable() && polls.size() > before + 1; });
  }

  /// Takes the permission to send orders away, and runs until the link has met
  /// that.
  void RevokePermission() {
    permitted = false;
    const int before = refused_permissions;
    RunUntil([&] { return refused_permissions > before; });
  }

  void SendStart() {
    sched::order start;
    start.task = {"00000000000000a1", 0, 0, 0};
    start.run = 1;
    subject->Send(start, [this](auto result) { outcome = result; });
  }

  std::vector<received_poll> PollsOf(millis incarnation) const {
    std::vector<received_poll> result;
    for (const auto& poll : polls) {
      if (poll.born == incarnation) result.push_back(poll);
    }
    return result;
  }

  node_context context{io, {}};
  millis born = 1000;
  std::vector<received_poll> polls;
  int received_starts = 0;
  bool permitted = true;  ///< The leader may send orders.
  /// Times that the link was told that it may not send orders.
  int refused_permissions = 0;
  int restarts = 0;
  int discards = 0;
  listing_result listing = listing_result::kAllAcknowledged;
  bool drop_starts = false;
  bool wrong_instance = false;
  std::optional<fleet::order_outcome> outcome;
  std::optional<runner_link> subject;
};

BOOST_FIXTURE_TEST_SUITE(runner_link_incarnations, runner_link_fixture)

// Guards against ends of a new incarnation that it forgets before it has listed
// them, because the poll carries the acknowledgements of the earlier one.
BOOST_AUTO_TEST_CASE(new_incarnation_gets_no_cursor_or_lease_of_the_old_one) {
  StartLink();
  subject->Acknowledge(12);
  RunUntil([&] { return polls.back().cursor == 12; });
  born = 2000;
  const std::string address = test_server->Address();
  test_server.reset();
  test_server_options.address = address;
  RunUntil([&] { return !subject->Reachable(); });
  test_server = Value(http::server::Make(
      io, test_server_options,
      [this](http::server_request request, http::server::responder respond) {
        Serve(request, std::move(respond));
      }));
  RunUntil([&] { return PollsOf(2000).size() > 2; });
  BOOST_TEST(restarts == 1);
  for (const received_poll& poll : PollsOf(2000)) BOOST_TEST(poll.cursor == 0);
  BOOST_TEST(!PollsOf(2000).front().extends_lease);
}

// Guards against a runner that is never polled again, and orders that never
// complete, after the runner has started again at another address.
BOOST_AUTO_TEST_CASE(new_address_completes_orders_and_is_polled) {
  StartLink();
  drop_starts = true;
  SendStart();
  RunUntil([&] { return received_starts == 1; });
  born = 2000;
  auto second = Value(http::server::Make(
      io, {.address = "127.0.0.1:0"},
      [this](http::server_request request, http::server::responder respond) {
        Serve(request, std::move(respond));
      }));
  subject->UpdateReport(Report(second->Address()));
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST((*outcome == fleet::order_outcome::kUnknown));
  BOOST_TEST(!subject->Reachable());
  RunUntil([&] { return restarts == 1 && subject->Reachable(); });
}

// Guards against runs that are taken for ended because the entry named the
// address of another runner for a moment.
BOOST_AUTO_TEST_CASE(other_runner_at_a_new_address_does_not_end_the_lease) {
  StartLink();
  born = 2000;
  wrong_instance = true;
  auto other = Value(http::server::Make(
      io, {.address = "127.0.0.1:0"},
      [this](http::server_request request, http::server::responder respond) {
        ++handled_requests;
        Serve(request, std::move(respond));
      }));
  handled_requests = 0;
  subject->UpdateReport(Report(other->Address()));
  RunUntil([&] { return handled_requests > 1; });
  BOOST_TEST(discards == 0);
  BOOST_TEST(!subject->LeaseExpired());
}

// Guards against a task that starts on a new incarnation whose kind is not
// known yet.
BOOST_AUTO_TEST_CASE(no_start_before_a_later_incarnation_has_answered) {
  StartLink();
  born = 2000;
  subject->UpdateReport(Report(test_server->Address()));
  SendStart();
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST((*outcome == fleet::order_outcome::kNotSent));
  RunUntil([&] { return restarts == 1 && subject->Reachable(); });
  SendStart();
  RunUntil([&] { return outcome == fleet::order_outcome::kAccepted; });
}

// Guards against runs that lapse on a healthy runner because a connection was
// closed between two polls of a leader that is loading.
BOOST_AUTO_TEST_CASE(closed_connection_does_not_interrupt_the_lease) {
  test_server_options.idle_timeout_ms = 1500;
  StartServer();
  listing = listing_result::kNotReady;
  StartLink();
  const auto extensions = [&] {
    return std::ranges::count_if(polls, &received_poll::extends_lease);
  };
  RunUntil([&] { return extensions() >= 3; });
  millis last = 0;
  for (const received_poll& poll : polls) {
    if (!poll.extends_lease) continue;
    if (last > 0) BOOST_TEST(poll.received_at - last < 4000);
    last = poll.received_at;
  }
}

// Guards against a runner that is never polled in a term that begins while the
// leader's lease is too old for orders and is renewed a moment later.
BOOST_AUTO_TEST_CASE(link_created_without_permission_polls_once_permitted) {
  permitted = false;
  StartLink();
  BOOST_TEST(refused_permissions > 0);
  permitted = true;
  AwaitPolls();
}

// Guards against a runner that is not polled again after the permission was
// missing at the moment when a poll was due.
BOOST_AUTO_TEST_CASE(lapse_of_the_permission_does_not_end_the_polls) {
  StartLink();
  RevokePermission();
  permitted = true;
  AwaitPolls();
}

// Guards against a new address that is never polled because it became known
// while the permission was missing.
BOOST_AUTO_TEST_CASE(address_that_changes_without_permission_is_polled) {
  StartLink();
  RevokePermission();
  auto second = Value(http::server::Make(
      io, {.address = "127.0.0.1:0"},
      [this](http::server_request request, http::server::responder respond) {
        Serve(request, std::move(respond));
      }));
  subject->UpdateReport(Report(second->Address()));
  permitted = true;
  AwaitPolls();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

#include "src/node/membership.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "tools/fleet_fake/store_stand_in.h"

namespace radishwing::node {
namespace {

// Bound against hanging; a run on an idle machine takes a small part of it.
constexpr std::chrono::seconds kHangBound{60};

struct membership_fixture {
  membership_fixture() {
    context.settings.name = "n1";
    context.store = Value(platform::store_client::Make(
        io, store.Address(), nullptr,
        [](std::string_view, std::string_view, millis) {}));
    membership_hooks hooks;
    hooks.elected = [this](const election& won) {
      events.push_back("elected " + std::to_string(won.term));
    };
    hooks.renewed = [this](millis) { events.emplace_back("renewed"); };
    hooks.deposed = [this] { events.emplace_back("deposed"); };
    subject =
        std::make_unique<membership>(context, "127.0.0.1:1", std::move(hooks));
  }

  bool Happened(const std::string& event) const {
    return std::ranges::find(events, event) != events.end();
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto bound = std::chrono::steady_clock::now() + kHangBound;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > bound) return false;
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  boost::asio::io_context io;
  fleet_fake::store_stand_in store{io};
  node_context context{io, {}};
  std::vector<std::string> events;
  std::unique_ptr<membership> subject;
};

BOOST_FIXTURE_TEST_SUITE(membership_leases, membership_fixture)

// Guards against a leader that takes the grant of a new lease for the renewal
// of the one that its leadership hung on: cut off with its zone, it believed
// itself the only leader right after the cut and started tasks that its
// successor was running (TWICE, voetnoot-prod fresh-2543).
BOOST_AUTO_TEST_CASE(lease_ran_out_leader_is_deposed_before_any_renewal) {
  BOOST_REQUIRE(RunUntil([&] { return Happened("elected 1"); }));
  store.SetQuiet(true);  // The watch does not tell that the key has gone.
  events.clear();
  store.EndLeases();
  BOOST_REQUIRE(RunUntil([&] { return !events.empty(); }));
  BOOST_TEST(events.front() == "deposed");
}

// Guards against a node that stands no more after it lost its lease.
BOOST_AUTO_TEST_CASE(lease_ran_out_node_is_elected_again) {
  BOOST_REQUIRE(RunUntil([&] { return Happened("elected 1"); }));
  store.EndLeases();
  BOOST_TEST(RunUntil([&] { return Happened("elected 2"); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

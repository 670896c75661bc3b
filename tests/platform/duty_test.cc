#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "src/platform/duty_lease.h"
#include "src/platform/prefix_watch.h"
#include "tests/platform/platform_fixture.h"

namespace radishwing::platform {
namespace {

using platform_fake::fault_mode;

struct duty_fixture : platform_fixture {
  duty_lease_options Options(std::string holder) {
    return {.key = "lease/x",
            .holder = std::move(holder),
            .ttl_ms = 60,
            .clock = time.View()};
  }
};

// Guards against two holders, and against a duty that nobody takes over after
// its holder's lease lapsed.
BOOST_FIXTURE_TEST_CASE(duty_lease_lapsed_is_taken_over, duty_fixture) {
  bool first_held = false;
  bool second_held = false;
  duty_lease first(io, *store, Options("a"), [&](bool h) { first_held = h; });
  RunUntil([&] { return first_held; });
  duty_lease second(io, *store, Options("b"), [&](bool h) { second_held = h; });
  const auto reads = fake->Calls("kv_read");
  RunUntil([&] { return fake->Calls("kv_read") > reads + 2; });
  BOOST_TEST(!second_held);
  const std::string lease = "lease-1";
  Fault(fault_mode::kLapseLease, 0, lease);
  RunUntil([&] { return !first_held || second_held; });
  RunUntil([&] { return first_held != second_held; });
  bool released = false;
  duty_lease& holder = first_held ? first : second;
  bool& heir = first_held ? second_held : first_held;
  holder.Release([&] { released = true; });
  RunUntil([&] { return released && heir; });
}

// Guards against a holder that goes on after the store was out of reach for
// longer than its lease.
BOOST_FIXTURE_TEST_CASE(duty_lease_store_down_ends_it, duty_fixture) {
  bool held = false;
  duty_lease duty(io, *store, Options("a"), [&](bool h) { held = h; });
  RunUntil([&] { return held; });
  BOOST_TEST(duty.Held());
  Fault(fault_mode::kDown);
  time.Advance(61);
  BOOST_TEST(!duty.Held());
  RunUntil([&] { return !held; });
  Fault(fault_mode::kNone);
  RunUntil([&] { return held; });
}

// Guards against a change that is missed over an outage or a silent
// connection.
BOOST_FIXTURE_TEST_CASE(prefix_watch_survives_outage, platform_fixture) {
  Swap("p/a", 0, "1");
  std::vector<std::string> seen;
  std::vector<bool> reach;
  prefix_watch_hooks hooks;
  hooks.on_snapshot = [&](kv_page p) {
    seen.push_back("all:" + std::to_string(p.items.size()));
  };
  hooks.on_changes = [&](kv_page p) {
    for (const auto& item : p.items) seen.push_back(item.key);
  };
  hooks.on_reach = [&](bool reachable) { reach.push_back(reachable); };
  prefix_watch watch(io, *store, {"p/", 20, 5}, hooks);
  RunUntil([&] { return fake->Calls("watch") >= 1; });
  Fault(fault_mode::kSilent);
  fake->Store().Put("p/b", 0, "x", "");
  RunUntil([&] { return seen.size() == 2; });
  Fault(fault_mode::kDown);
  RunUntil([&] { return reach.size() >= 3 && !reach.back(); });
  fake->Store().Put("p/c", 0, "x", "");
  Fault(fault_mode::kNone);
  RunUntil([&] { return seen.size() == 3; });
  const std::vector<std::string> expected = {"all:1", "p/b", "p/c"};
  BOOST_TEST(seen == expected, boost::test_tools::per_element());
}

}  // namespace
}  // namespace radishwing::platform

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/control/test_entry.h"
#include "tests/control/test_fleet.h"

namespace radishwing::control {
namespace {

using requests::claim_state;
using requests::outcome;

struct claim_fixture : test_fleet {
  std::map<std::string, std::unique_ptr<test_entry>> entries;

  claim_fixture() {
    Publish(1);
    for (const auto& [name, centre] : std::map<std::string, std::string>{
             {"host-one", "ams"}, {"host-two", "rtm"}, {"host-three", "ams"}}) {
      Start(name, centre);
      entries[name] =
          std::make_unique<test_entry>(name, centre, network.Add(name));
    }
    BOOST_REQUIRE(Eventually([&] {
      return RosterSize("host-one") == 3 && RosterSize("host-two") == 3 &&
             RosterSize("host-three") == 3;
    }));
    for (auto& item : entries) {
      BOOST_REQUIRE(Eventually([&] { return item.second->connected.load(); }));
    }
  }

  std::size_t RosterSize(const std::string& name) {
    std::size_t size = 0;
    Get(name).Inspect([&](control_core& core) {
      const auto* table = core.Claims().Table();
      if (table != nullptr && table->Roster().unsettled.empty()) {
        size = table->Roster().members.size();
      }
    });
    return size;
  }

  std::string PrimaryOf(const std::string& id) {
    std::string primary;
    Get("host-one").Inspect([&](control_core& core) {
      primary = core.Claims().Table()->PrimaryOf(id);
    });
    return primary.substr(0, primary.find('#'));
  }

  // An identifier whose primary is `host`.
  std::string IdAt(const std::string& host) {
    for (int i = 0;; ++i) {
      std::string id = "request-" + std::to_string(i);
      if (PrimaryOf(id) == host) return id;
    }
  }
};

// Guards against the same identifier running twice, at whichever entries it
// arrives, and against a repeat that does not learn how the first one ended.
BOOST_FIXTURE_TEST_CASE(claim_service_repeat_never_runs_again, claim_fixture) {
  auto& one = *entries["host-one"];
  auto& two = *entries["host-two"];
  for (int i = 0; i < 20; ++i) {
    std::string id = "id-" + std::to_string(i);
    BOOST_TEST((one.Claim(id).state == claim_state::kFresh));
    std::string owner = one.owner + "/" + std::to_string(one.claims);
    BOOST_TEST((two.Claim(id).state == claim_state::kRunning));
    BOOST_TEST((two.Claim(id, "other").state == claim_state::kConflict));
    one.link->Finish(id, owner, outcome::kAnswered, 201);
    BOOST_TEST(Eventually([&] {
      auto answer = two.Claim(id);
      return answer.state == claim_state::kFinished && answer.status == 201;
    }));
  }
}

// Guards against claims that die with one control.
BOOST_FIXTURE_TEST_CASE(claim_service_killed_primary_second_remembers,
                        claim_fixture) {
  std::string id = IdAt("host-two");
  BOOST_REQUIRE((entries["host-one"]->Claim(id).state == claim_state::kFresh));
  Kill("host-two");
  claim_state state = claim_state::kUnavailable;
  BOOST_TEST(Eventually([&] {
    state = entries["host-three"]->Claim(id).state;
    return state != claim_state::kUnavailable;
  }));
  BOOST_TEST((state == claim_state::kRunning));
  // New requests work again without the dead control.
  BOOST_TEST(Eventually([&] {
    return entries["host-one"]->Claim("after").state == claim_state::kFresh;
  }));
}

// Guards against a control that is cut off from the others and grants claims
// alone, also if the roster changed meanwhile.
BOOST_FIXTURE_TEST_CASE(claim_service_cut_off_primary_grants_nothing,
                        claim_fixture) {
  std::string id = IdAt("host-two");
  store.SetFault("host-two", fake_store::fault::kSilent);
  auto entry = std::make_unique<test_entry>("host-two", "rtm",
                                            Get("host-two").RpcAddress(), 7000);
  BOOST_REQUIRE(Eventually([&] { return entry->connected.load(); }));
  network.Isolate("host-two");
  BOOST_TEST((entry->Claim(id).state == claim_state::kUnavailable));
  BOOST_TEST(Eventually([&] { return RosterSize("host-one") == 2; }));
  // The first claim may have reached the second copy, so it stays recorded.
  BOOST_TEST((entry->Claim(id).state == claim_state::kRunning));
  BOOST_TEST(
      (entry->Claim(IdAt("host-one")).state == claim_state::kUnavailable));
  BOOST_TEST(Eventually([&] {
    return entries["host-one"]->Claim(id).state == claim_state::kFresh;
  }));
  network.Join("host-two");
  store.SetFault("host-two", fake_store::fault::kNone);
  claim_state state = claim_state::kUnavailable;
  BOOST_TEST(Eventually([&] {
    state = entry->Claim(id).state;
    return state != claim_state::kUnavailable;
  }));
  BOOST_TEST((state == claim_state::kRunning));
}

// Guards against requests that stop because the store is down for long.
BOOST_FIXTURE_TEST_CASE(claim_service_store_down_requests_continue,
                        claim_fixture) {
  auto& entry = *entries["host-one"];
  BOOST_REQUIRE(Eventually([&] { return entry.Acquire("uva", 1) == 1; }));
  store.SetFaultForAll(fake_store::fault::kDown);
  BOOST_REQUIRE(Eventually([&] {
    bool held = true;
    Get("host-one").Inspect([&](control_core& core) {
      held = core.Relay().HoldsWatch();
    });
    return !held;
  }));
  BOOST_TEST(entry.Acquire("uva", 1) == 1U);
  BOOST_TEST((entry.Claim("during").state == claim_state::kFresh));
  BOOST_TEST(Sees("host-one", "host-two") == "alive");
}

// Guards against a cancellation that reaches the wrong entry or none.
BOOST_FIXTURE_TEST_CASE(claim_service_cancel_reaches_the_running_entry,
                        claim_fixture) {
  BOOST_REQUIRE((entries["host-one"]->Claim("uva/to-cancel").state ==
                 claim_state::kFresh));
  BOOST_TEST(entries["host-two"]->Cancel("to-cancel"));
  BOOST_TEST(entries["host-one"]->cancels > 0);
}

// Guards against a graceful stop that loses claims or stays in the roster, and
// against one that waits for a store that does not answer.
BOOST_FIXTURE_TEST_CASE(claim_service_graceful_stop_hands_claims_over,
                        claim_fixture) {
  std::string id = IdAt("host-two");
  BOOST_REQUIRE((entries["host-one"]->Claim(id).state == claim_state::kFresh));
  auto stop = [&](const std::string& name) {
    std::promise<void> stopped;
    Get(name).Stop([&] { stopped.set_value(); });
    auto end = stopped.get_future().wait_for(std::chrono::seconds(20));
    BOOST_TEST((end == std::future_status::ready));
    Kill(name);
  };
  stop("host-two");
  BOOST_TEST(Sees("host-one", "host-two") == "left");
  BOOST_TEST(Eventually([&] { return RosterSize("host-one") == 2; }));
  BOOST_TEST((entries["host-three"]->Claim(id).state == claim_state::kRunning));
  store.SetFaultForAll(fake_store::fault::kSilent);
  stop("host-three");
}

}  // namespace
}  // namespace radishwing::control

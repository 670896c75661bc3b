#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/control/test_fleet.h"

namespace radishwing::control {
namespace {

constexpr auto Eventually = test_fleet::Eventually;

struct relay_fixture : test_fleet {
  bool AllAt(std::uint64_t revision, std::vector<std::string> names) {
    return Eventually([&] {
      return std::all_of(names.begin(), names.end(), [&](const auto& name) {
        return Revision(name) == revision;
      });
    });
  }

  std::string Holder(const std::string& centre) {
    std::string value = store.Read("lease/settings/" + centre);
    std::size_t start = value.find("host-");
    if (start == value.npos) return std::string();
    return value.substr(start, value.find('#') - start);
  }
};

// Guards against settings that stop at the control that relays them, and
// against a relay that is never taken over when its holder is killed.
BOOST_FIXTURE_TEST_CASE(settings_relay_holder_killed_another_takes_over,
                        relay_fixture) {
  for (const char* name : {"host-one", "host-two", "host-three"}) {
    Start(name, "ams");
  }
  Publish(1);
  BOOST_TEST(AllAt(1, {"host-one", "host-two", "host-three"}));
  std::string holder = Holder("ams");
  BOOST_REQUIRE(Runs(holder));
  Kill(holder);
  Publish(2);
  for (const char* name : {"host-one", "host-two", "host-three"}) {
    if (Runs(name)) BOOST_TEST(AllAt(2, {name}));
  }
}

// Guards against a new host that waits for the store although its peers have
// the settings.
BOOST_FIXTURE_TEST_CASE(settings_relay_store_down_new_host_asks_peers,
                        relay_fixture) {
  Start("host-one", "ams");
  Publish(5);
  BOOST_REQUIRE(AllAt(5, {"host-one"}));
  store.SetFaultForAll(fake_store::fault::kDown);
  Start("host-two", "ams");
  BOOST_TEST(AllAt(5, {"host-two"}));
}

// Guards against a control that returns to an older revision, which would
// make a revoked key valid again.
BOOST_FIXTURE_TEST_CASE(settings_relay_older_revision_is_never_accepted,
                        relay_fixture) {
  Start("host-one", "ams");
  Start("host-two", "rtm");
  Publish(9);
  BOOST_REQUIRE(AllAt(9, {"host-one", "host-two"}));
  Publish(3);
  Publish(10);
  BOOST_TEST(AllAt(10, {"host-one", "host-two"}));
  Get("host-one").Inspect([](control_core& core) {
    BOOST_TEST(!core.Settings().Offer({3, SettingsText(), "c", "a"}, "test"));
  });
}

// Guards against a data centre that trusts its settings although neither the
// store nor another data centre can tell it of newer ones, and against one
// that stays cut off after the partition.
BOOST_FIXTURE_TEST_CASE(settings_relay_cut_off_control_knows_it,
                        relay_fixture) {
  Start("host-one", "ams");
  Start("host-two", "rtm");
  Publish(1);
  BOOST_REQUIRE(AllAt(1, {"host-one", "host-two"}));
  auto cut_off = [&] {
    millis ms = 0;
    Get("host-two").Inspect([&](control_core& c) { ms = c.CutOffMs(); });
    return ms;
  };
  BOOST_REQUIRE(
      Eventually([&] { return Sees("host-two", "host-one") == "alive"; }));
  network.Isolate("host-two");
  BOOST_TEST(
      Eventually([&] { return Sees("host-two", "host-one") == "failed"; }));
  BOOST_TEST(cut_off() == 0);
  store.SetFault("host-two", fake_store::fault::kSilent);
  BOOST_TEST(Eventually([&] { return cut_off() > 0; }));
  Publish(2);
  BOOST_TEST(AllAt(2, {"host-one"}));
  BOOST_TEST(Revision("host-two") == 1U);
  network.Join("host-two");
  BOOST_TEST(AllAt(2, {"host-two"}));
  BOOST_TEST(Eventually([&] { return cut_off() == 0; }));
}

// Guards against settings that wait for a store that answers late or whose
// answers are lost: the lease is then held although its writer does not know.
BOOST_FIXTURE_TEST_CASE(settings_relay_bad_store_answers_do_not_stop_it,
                        relay_fixture) {
  store.SetFaultForAll(fake_store::fault::kLoseAnswers);
  Start("host-one", "ams");
  Publish(1);
  BOOST_TEST(AllAt(1, {"host-one"}));
  store.SetFaultForAll(fake_store::fault::kSlow);
  Start("host-two", "rtm");
  Publish(2);
  BOOST_TEST(AllAt(2, {"host-one", "host-two"}));
}

}  // namespace
}  // namespace radishwing::control

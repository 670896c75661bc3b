#include "src/rpc/entry_link.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>
#include <future>

#include "src/control/control_core.h"
#include "src/control/control_process.h"
#include "tests/control/test_fleet.h"

namespace radishwing::control {
namespace {

constexpr auto kHungTest = std::chrono::seconds(20);

struct entry_link_fixture {
  entry_link_fixture() {
    control_options options;
    options.host = "a1";
    options.data_centre = "ams";
    options.incarnation = 1000;
    options.fleet_secret = "secret";
    auto made = control_process::Make(options, platform_seam());
    BOOST_REQUIRE(Ok(made));
    control = Value(std::move(made));
    link_options.host = "a1";
    link_options.data_centre = "ams";
    link_options.incarnation = 2000;
    link_options.control_address = control->RpcAddress();
    link_options.fleet_secret = "secret";
  }

  std::unique_ptr<control_process> control;
  rpc::entry_link_options link_options;
};

// Guards against an entry that starts before its control knows settings and
// then never learns of them.
BOOST_FIXTURE_TEST_CASE(entry_link_waiting_gets_snapshot_when_it_exists,
                        entry_link_fixture) {
  std::promise<rpc::snapshot> received;
  rpc::entry_link_hooks hooks;
  hooks.on_snapshot = [&, first = true](rpc::snapshot s) mutable {
    if (std::exchange(first, false)) received.set_value(std::move(s));
  };
  std::promise<void> connected;
  hooks.on_connected = [&](bool open) {
    if (open) connected.set_value();
  };
  auto link = rpc::entry_link::Make(link_options, hooks);
  BOOST_REQUIRE(Ok(link));
  auto open = connected.get_future();
  BOOST_REQUIRE(open.wait_for(kHungTest) == std::future_status::ready);
  control->Inspect([](control_core& core) {
    core.Table().Replace(
        {{"r1", "chat", "h1", "ams", "rack1", "127.0.0.1:9", 8, 64, true, 3}},
        3);
    core.Settings().Offer({7, test_fleet::SettingsText(), "c7", "test"},
                          "test");
  });
  auto snapshot = received.get_future();
  BOOST_REQUIRE(snapshot.wait_for(kHungTest) == std::future_status::ready);
  rpc::snapshot got = snapshot.get();
  BOOST_TEST(got.settings->revision == 7);
  BOOST_REQUIRE(got.runners.size() == 1);
  BOOST_TEST(got.runners[0].id == "r1");
}

}  // namespace
}  // namespace radishwing::control

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "src/node/leader.h"
#include "src/node/record_keys.h"
#include "tests/http/http_fixture.h"
#include "tools/fleet_fake/fake_runner.h"
#include "tools/fleet_fake/fake_store.h"

namespace radishwing::node {
namespace {

constexpr millis kRunDurationMs = 60000;
// Longer than the time after which a runner without an entry is dropped.
constexpr millis kLongTakeoverMs = 4000;

/// The takeover of a leader whose predecessor had recorded one runner. The
/// leader reads the time of `time`.
struct leader_takeover_fixture : http::http_fixture {
  leader_takeover_fixture() {
    fleet::node_settings settings;
    settings.name = "n1";
    settings.host_api_address = "127.0.0.1:1";
    context = std::make_unique<node_context>(io, settings);
    context->now = time.AsClock();
    auto config = std::make_shared<fleet::fleet_config>();
    config->pools = {{"pool", false, false}};
    context->config = config;
    platform::store_client::hooks hooks;
    hooks.observe = [](const auto&) {};
    context->store =
        Value(platform::store_client::Make(io, store.Address(), hooks));
    store.Put(ShardKey(), "n1");
    store.Put(RunnerSetKey(), RunnerSet());
  }

  /// Returns a runner set with the runner, as the predecessor stored it.
  std::string RunnerSet() const {
    const auto entry = boost::json::parse(store.Value("servers/w0"));
    return boost::json::serialize(boost::json::array{
        boost::json::array{"w0", "pool", entry.at("address"), "z"}});
  }

  void StartTakeover() {
    election won{.term = 2, .lease_renewed_at = time.AsClock().Now()};
    std::uint64_t& fence = won.fencing_token;
    context->store->Get(
        ShardKey(), [&](const auto& item) { fence = Value(item).revision; });
    RunUntil([&] { return fence != 0; });
    subject = std::make_unique<leader>(*context, won, [] {});
  }

  manual_clock time{100000};
  fleet_fake::fake_store store{io};
  fleet_fake::run_recorder recorder;
  fleet_fake::fake_runner runner{io,   store,  recorder,
                                 "w0", "pool", kRunDurationMs};
  std::unique_ptr<node_context> context;
  std::unique_ptr<leader> subject;
};

BOOST_FIXTURE_TEST_SUITE(leader_takeover, leader_takeover_fixture)

// Guards against a successor that does not know of a runner with tasks and
// starts these tasks again.
BOOST_AUTO_TEST_CASE(runner_set_is_kept_while_the_runners_cannot_be_read) {
  store.RefuseReadsOf("servers/");
  StartTakeover();
  RunUntil([&] { return runner.PollCount() > 0; });
  time.Advance(kLongTakeoverMs);
  const int refused_before = store.RefusedReadCount();
  RunUntil([&] { return store.RefusedReadCount() > refused_before + 3; });
  BOOST_TEST(store.Value(RunnerSetKey()) == RunnerSet());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

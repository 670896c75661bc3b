#include "tests/whole_path/whole_path_fixture.h"

#define BOOST_TEST_DYN_LINK
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

#include "src/base/sha256.h"
#include "src/control/control_core.h"
#include "src/control/settings_record.h"
#include "tests/entry/entry_fixture.h"

namespace radishwing::whole_path {

using control::control_core;

whole_path_fixture::whole_path_fixture() {
  platform_fake::fake_options options;
  options.lag_ms = 0;
  platform_ = Value(platform_fake::platform_fake::Make(platform_io_, options));
  platform_runs_ = std::thread([this] { platform_io_.run(); });
}

whole_path_fixture::~whole_path_fixture() {
  entries.clear();
  controls.clear();
  platform_threads_.clear();
  runners.clear();
  platform_io_.stop();
  platform_runs_.join();
}

std::string whole_path_fixture::SettingsText() const {
  std::string keys =
      with_key ? R"({"id": "k1", "sha256": ")" + Sha256Hex("key-uva") + R"("})"
               : "";
  return R"({
    "fleet": {"name": "test", "preset": "deadline_surges",
              "identifier_retention_seconds": 600},
    "teams": {"uva": {"share": 0.5, "upper_limit": )" +
         std::to_string(upper_limit) + R"(, "keys": [)" + keys + R"(]}},
    "pools": {"text": {"floor_hosts": 0, "target_hosts": 1},
              "spare": {"floor_hosts": 0, "target_hosts": 0, "spare": true}},
    "services": {"sums": {"pool": "text", "longest_run_seconds": 60}}
  })";
}

void whole_path_fixture::Publish() {
  ++revision_;
  std::string value = control::EncodeSettings(
      {revision_, SettingsText(), "c" + std::to_string(revision_), "test"});
  std::promise<platform_fake::write_outcome> done;
  boost::asio::post(platform_io_, [&] {
    done.set_value(platform_->Store().Put(control::kSettingsKey,
                                          stored_version_, value, ""));
  });
  auto outcome = done.get_future().get();
  BOOST_REQUIRE((outcome.what == platform_fake::write_outcome::kind::kDone));
  stored_version_ = outcome.version;
}

void whole_path_fixture::StartHost(const std::string& host,
                                   const std::string& data_centre) {
  control::control_options options;
  options.host = host;
  options.data_centre = data_centre;
  options.incarnation = 1000 + controls.size();
  options.fleet_secret = "secret";
  for (const auto& other : controls) {
    options.peers.push_back(other->RpcAddress());
  }
  options.timing.members.heartbeat_ms = 100;
  options.timing.live_poll_ms = 100;
  options.timing.lease_poll_ms = 100;
  // A repeated write of the settings shows within one watch.
  options.timing.watch_wait_ms = 1000;
  auto thread = control::platform_thread::Make(platform_->Address());
  platform_threads_.push_back(std::move(Value(thread)));
  auto made =
      control::control_process::Make(options, platform_threads_.back()->Seam());
  BOOST_REQUIRE(Ok(made));
  controls.push_back(std::move(Value(made)));

  settings::process_settings entry;
  entry.host = host;
  entry.data_centre = data_centre;
  entry.control_address = controls.back()->RpcAddress();
  entry.caller_address = "127.0.0.1:0";
  entry.fleet_secret = settings::secret_text("secret");
  auto process = entry::entry_process::Make(entry_io_, entry);
  BOOST_REQUIRE(Ok(process));
  entries.push_back(std::move(Value(process)));
  callers.push_back(entries.back()->CallerAddress());
}

void whole_path_fixture::StartRunner(const std::string& id) {
  fake::runner_options options;
  options.id = id;
  options.service = "sums";
  options.host = "host-of-" + id;
  options.platform_address = platform_->Address();
  runners.push_back(std::move(Value(fake::runner_fake::Make(options))));
}

bool whole_path_fixture::RosterSettled() {
  bool settled = true;
  for (const auto& control : controls) {
    control->Inspect([&](control_core& core) {
      const auto* table = core.Claims().Table();
      settled = settled && table != nullptr &&
                table->Roster().unsettled.empty() &&
                table->Roster().members.size() == controls.size();
    });
  }
  return settled;
}

void whole_path_fixture::Start() {
  Publish();
  StartRunner("runner-1");
  StartRunner("runner-2");
  StartHost("host-one", "ams");
  StartHost("host-two", "rtm");
  BOOST_REQUIRE(entry::WaitUntil([this] { return RosterSettled(); }));
  for (std::size_t i = 0; i < entries.size(); ++i) {
    BOOST_REQUIRE(entry::WaitUntil(
        [&] { return Send(i, "GET", "/sums/warm").status == 200; }));
  }
}

entry::http_answer whole_path_fixture::Send(
    std::size_t entry, const std::string& method, const std::string& target,
    std::map<std::string, std::string> headers) {
  headers.emplace("Authorization", "Bearer key-uva");
  return entry::http_caller(callers[entry]).Send(method, target, headers);
}

std::vector<fake::run_record> whole_path_fixture::Records() const {
  std::vector<fake::run_record> all;
  for (const auto& runner : runners) {
    for (auto& record : runner->Records()) all.push_back(record);
  }
  return all;
}

std::uint32_t whole_path_fixture::InUse(std::size_t control) {
  std::uint32_t in_use = 0;
  controls[control]->Inspect([&](control_core& core) {
    const auto* team = core.Tokens().Find("uva");
    if (team != nullptr) in_use = team->account.InUse();
  });
  return in_use;
}

}  // namespace radishwing::whole_path

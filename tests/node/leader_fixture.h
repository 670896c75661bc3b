#pragma once

#include <boost/json.hpp>
#include <memory>
#include <string>

#include "src/node/job_record_codec.h"
#include "src/node/leader.h"
#include "src/node/record_keys.h"
#include "tests/http/http_fixture.h"
#include "tools/fleet_fake/fake_runner.h"
#include "tools/fleet_fake/fake_store.h"

namespace radishwing::node {

/// A leader whose predecessor had recorded one runner. The leader reads the
/// time of `time`; its timers run in real time.
struct leader_fixture : http::http_fixture {
  static constexpr millis kRunDurationMs = 60000;

  leader_fixture() {
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

  /// Returns the record of an accepted job with one task.
  static std::string JobRecord() {
    fleet::job_record record;
    record.queue = "q";
    record.pool = "pool";
    record.body =
        R"({"spec":"s","steps":[{"count":1,"cpu":500,"estimate-ms":60}]})";
    return EncodeJobRecord(record, 0);
  }

  /// Stores a job as a node that accepts it does. Returns the key's revision.
  std::uint64_t StoreJob(const std::string& id) {
    return store.Put(JobKey(id), JobRecord());
  }

  /// Stores a job that an earlier leader has recorded as succeeded.
  void StoreSucceededJob(const std::string& id) {
    StoreJob(id);
    store.Put(ProgressKey(id), SucceededProgress());
  }

  static std::string SucceededProgress() {
    return R"({"state":"succeeded","created":1,"data_centres":["z"],)"
           R"("repetitions":[]})";
  }

  void StartTakeover() {
    election won{.term = 2, .lease_renewed_at = time.Now()};
    std::uint64_t& fence = won.fencing_token;
    context->store->Get(
        ShardKey(), [&](const auto& item) { fence = Value(item).revision; });
    RunUntil([&] { return fence != 0; });
    subject = std::make_unique<leader>(*context, won, [] {});
  }

  /// Starts a takeover and waits until the leader may start tasks.
  void BecomeReady() {
    StartTakeover();
    RunUntil([&] { return subject->Ready(); });
  }

  /// Advances the time. The leader renews its lease at the end of it.
  void AdvanceWithLease(millis duration) {
    time.Advance(duration);
    subject->RecordLeaseRenewal(time.Now());
  }

  /// Returns true if no run of the job was started.
  bool HasNoRun(const std::string& id) const {
    return recorder.tasks.lower_bound(id) ==
           recorder.tasks.lower_bound(id + "/");
  }

  manual_clock time{100000};
  fleet_fake::fake_store store{io};
  fleet_fake::run_recorder recorder;
  fleet_fake::fake_runner runner{io,   store,  recorder,
                                 "w0", "pool", kRunDurationMs};
  std::unique_ptr<node_context> context;
  std::unique_ptr<leader> subject;
};

}  // namespace radishwing::node

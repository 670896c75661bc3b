#define BOOST_TEST_DYN_LINK
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "src/control/control_core.h"
#include "src/control/control_process.h"
#include "src/control/platform_thread.h"
#include "src/control/settings_record.h"
#include "tests/control/test_entry.h"
#include "tests/control/test_fleet.h"
#include "tools/platform_fake/platform_fake.h"

namespace radishwing::control {
namespace {

bool Eventually(const std::function<bool()>& condition) {
  return test_fleet::Eventually(condition);
}

/// The fake platform on a thread of its own, with a control and its entry.
struct job_fixture {
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      io.get_executor()};
  std::unique_ptr<platform_fake::platform_fake> fake;
  std::thread thread;
  std::unique_ptr<platform_thread> platform;
  metrics::metric_registry registry{{"radishwing-control", "c1", "dca"}};
  std::unique_ptr<control_process> control;
  std::unique_ptr<test_entry> entry;

  job_fixture() {
    platform_fake::fake_options options;
    options.lag_ms = 0;
    options.task_ms = 300;
    options.reboot_ms = 200;
    options.hosts = {{"h1", "dca", "r1", 8, 4096, 0},
                     {"h2", "dca", "r1", 8, 4096, 0},
                     {"h3", "dca", "r1", 8, 4096, 0}};
    fake = Value(platform_fake::platform_fake::Make(io, options));
    thread = std::thread([this] { io.run(); });
    platform = Value(platform_thread::Make(fake->Address()));
    Publish(1, "planned");
    StartControl(1);
  }

  ~job_fixture() {
    entry.reset();
    control.reset();
    platform.reset();
    io.stop();
    thread.join();
  }

  void Publish(std::uint64_t revision, const std::string& wave) {
    std::string text = test_fleet::SettingsText();
    text.insert(text.rfind('}'), R"(, "waves": {"w1": {"pools": ["spare"],
        "kind": "kernel", "state": ")" +
                                     wave + "\"}}");
    auto written = std::make_shared<std::promise<void>>();
    const std::string value = EncodeSettings(
        {revision, text, "change-" + std::to_string(revision), "test"});
    platform->Seam().get(
        kSettingsKey,
        [this, value, written](result<std::optional<stored_value>> held) {
          const auto& old = Value(held);
          platform->Seam().put(
              kSettingsKey, value, old ? old->version : 0, "",
              [written](result<put_answer>) { written->set_value(); });
        });
    written->get_future().get();
  }

  void StartControl(std::uint64_t incarnation) {
    control_options options;
    options.host = "c1";
    options.data_centre = "dca";
    options.incarnation = incarnation;
    options.fleet_secret = "fleet secret";
    options.registry = &registry;
    options.timing.members.heartbeat_ms = 100;
    options.timing.members.failed_ms = 300;
    options.timing.live_poll_ms = 100;
    options.timing.hosts_poll_ms = 100;
    options.timing.duty_round_ms = 50;
    options.timing.job_refresh_ms = 300;
    options.timing.drain_settle_ms = 200;
    control =
        Value(control_process::Make(std::move(options), platform->Seam()));
    entry = std::make_unique<test_entry>("c1", "dca", control->RpcAddress());
  }

  rpc::job_answer Ask(rpc::job_verb verb, const std::string& id = "") {
    rpc::job_request request;
    request.verb = verb;
    request.service = "chat";
    request.team = "uva";
    request.job_id = id;
    request.body = "work";
    request.cores = 6;
    request.memory_mb = 1024;
    auto answer = std::make_shared<std::promise<rpc::job_answer>>();
    entry->link->Job(request, [answer](result<rpc::job_answer> got) {
      answer->set_value(Ok(got) ? Value(got) : rpc::job_answer());
    });
    return answer->get_future().get();
  }

  std::string Submit() {
    rpc::job_answer answer;
    BOOST_REQUIRE(Eventually([&] {
      answer = Ask(rpc::job_verb::kSubmit);
      return answer.status == 202;
    }));
    return boost::json::value_to<std::string>(
        boost::json::parse(answer.body).at("id"));
  }

  std::string JobField(const std::string& id, const char* field) {
    auto answer = Ask(rpc::job_verb::kState, id);
    if (answer.status != 200) return "";
    return boost::json::value_to<std::string>(
        boost::json::parse(answer.body).at(field));
  }

  std::string HostState(const std::string& host) {
    std::string state = "none";
    control->Inspect([&](control_core& core) {
      const auto* record = core.Hosts().Record(host);
      if (record != nullptr) {
        state = maintenance::HostStateName(record->state);
      }
    });
    return state;
  }
};

BOOST_FIXTURE_TEST_SUITE(control_jobs, job_fixture)

// Guards against jobs that are accepted and never run, and against two tasks on
// a host that has room for one.
BOOST_AUTO_TEST_CASE(submitted_jobs_run_on_different_hosts_and_finish) {
  const std::string one = Submit();
  const std::string two = Submit();
  std::string host_one;
  std::string host_two;
  BOOST_TEST(Eventually([&] {
    host_one = JobField(one, "host");
    host_two = JobField(two, "host");
    return !host_one.empty() && !host_two.empty();
  }));
  BOOST_TEST(host_one != host_two);
  BOOST_TEST(Eventually([&] { return JobField(one, "state") == "finished"; }));
  BOOST_TEST(Ask(rpc::job_verb::kResult, one).status == 200);
  BOOST_TEST(Ask(rpc::job_verb::kState, "dca.nothing-1").status == 404);
}

// Guards against a restart of a host under a task, and against a wave that
// stops or restarts a host twice.
BOOST_AUTO_TEST_CASE(wave_restarts_each_host_once_and_not_under_tasks) {
  const std::string job = Submit();
  std::string host;
  BOOST_REQUIRE(Eventually([&] {
    host = JobField(job, "host");
    return !host.empty();
  }));
  Publish(2, "running");
  wave_board::progress progress;
  BOOST_TEST(Eventually([&] {
    const std::string state = HostState(host);
    if (state == "empty" || state == "maintenance") {
      BOOST_TEST(JobField(job, "state") == "finished");
    }
    control->Inspect([&](control_core& core) {
      if (core.Settings().Revision() == 2) {
        progress = core.Waves().Progress("w1");
      }
    });
    return progress.done == 3;
  }));
  BOOST_TEST(progress.unhealthy == 0U);
  BOOST_TEST(progress.waiting == 0U);
}

// Guards against a control that a load balancer or an operator takes for ready
// while it stops, and against pools that no metric shows.
BOOST_AUTO_TEST_CASE(metrics_show_pools_and_readiness_fails_when_stopping) {
  auto& ready = registry.Gauge(metrics::metric::kReady);
  metrics::series spare;
  spare.pool = "spare";
  spare.value = "active";
  auto& hosts = registry.Gauge(metrics::metric::kPoolHosts, spare);
  BOOST_TEST(
      Eventually([&] { return ready.Value() == 1 && hosts.Value() == 3; }));
  std::promise<void> stopped;
  control->Stop([&] { stopped.set_value(); });
  BOOST_TEST(Eventually([&] { return ready.Value() == 0; }));
  stopped.get_future().wait();
  BOOST_TEST(ready.Value() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::control

#include "src/ctl/app.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "src/ctl/exit_code.h"
#include "src/node/job_record_codec.h"
#include "src/node/member_table.h"
#include "src/node/record_keys.h"

namespace radishwing::ctl {
namespace {

constexpr const char* kJobId = "00000000000000a1";

/// Returns the path of a file in the system's folder for temporary files. The
/// process id keeps concurrent runs of the tests apart.
std::string TemporaryFile(const std::string& name) {
  return (std::filesystem::temp_directory_path() /
          (std::to_string(::getpid()) + "-" + name))
      .string();
}

/// Runs radishwingctl commands on a store that is held in memory.
struct app_fixture {
  app_fixture() {
    environment.out = &out;
    environment.err = &err;
    environment.open_store =
        [this](const std::string& address) -> result<store_reader> {
      if (address != "store") {
        return failure{failure_kind::kUnavailable, "no store at " + address};
      }
      store_reader reader;
      reader.get = [this](const std::string& key) -> result<store::store_item> {
        return FindItem(key);
      };
      reader.list = [this](const std::string& prefix) {
        std::vector<store::store_item> found;
        for (const auto& [key, value] : items) {
          if (key.starts_with(prefix)) found.push_back(FindItem(key));
        }
        return result<std::vector<store::store_item>>(std::move(found));
      };
      return reader;
    };
  }

  /// Returns the item with the key `key`, or one with revision 0 if there is
  /// none.
  store::store_item FindItem(const std::string& key) {
    store::store_item item;
    item.key = key;
    const auto it = items.find(key);
    if (it == items.end()) return item;
    item.value = it->second;
    item.revision = 7;
    return item;
  }

  void AddJob(const std::string& id) {
    fleet::job_record record;
    record.id = id;
    record.queue = "queue";
    record.pool = "pool";
    record.team = "team";
    record.body =
        R"({"spec":"s","steps":[{"count":1,"cpu":500,"estimate-ms":60}]})";
    items[node::JobKey(id)] = node::EncodeJobRecord(record, 7);
  }

  /// Runs a command and returns its exit code.
  int Run(const std::vector<std::string>& arguments) {
    out.str("");
    err.str("");
    return RunApp(arguments, environment);
  }
  bool OutputContains(const std::string& text) {
    return out.str().find(text) != std::string::npos;
  }

  std::map<std::string, std::string> items;  ///< Store values by key.
  std::ostringstream out;
  std::ostringstream err;
  app_environment environment;
};

BOOST_FIXTURE_TEST_SUITE(ctl_commands, app_fixture)

BOOST_AUTO_TEST_CASE(status_shows_leader_and_nodes) {
  const node::member n1{"n1", "10.0.0.1:7000", 5, 250};
  items[node::NodeKey("n1")] = node::EncodeMember(n1);
  items[node::ShardKey()] = node::EncodeMember(n1);
  BOOST_TEST(Run({"status", "--store", "store"}) == 0);
  BOOST_TEST(OutputContains("leader   n1"));
  BOOST_TEST(OutputContains("10.0.0.1:7000"));
}

// Guards against a count of pending jobs that omits jobs without a progress
// record or counts cancellation records as jobs.
BOOST_AUTO_TEST_CASE(jobs_counts_jobs_with_and_without_progress) {
  AddJob(kJobId);
  AddJob("00000000000000a2");
  items[node::CancelKey(kJobId)] = "{}";
  items[node::ProgressKey(kJobId)] =
      R"({"state":"cancelled","created":1,"data_centres":[],"repetitions":[]})";
  BOOST_TEST(Run({"jobs", "--store", "store"}) == 0);
  BOOST_TEST(OutputContains("cancelled  1"));
  BOOST_TEST(OutputContains("pending    1"));
}

BOOST_AUTO_TEST_CASE(job_shows_state_and_team) {
  AddJob(kJobId);
  BOOST_TEST(Run({"job", "--store", "store", kJobId}) == 0);
  BOOST_TEST(OutputContains("pending"));
  BOOST_TEST(OutputContains("team"));
  BOOST_TEST(Run({"job", "--store", "store", "00000000000000ff"}) ==
             static_cast<int>(exit_code::kNotFound));
}

BOOST_AUTO_TEST_CASE(unreachable_store_is_an_error) {
  BOOST_TEST(Run({"jobs", "--store", "nowhere"}) ==
             static_cast<int>(exit_code::kUnavailable));
  BOOST_TEST(err.str().find("nowhere") != std::string::npos);
}

// The output of `explain` must include the events of the job's runner after the
// start of the task. It must not include events of other runners.
BOOST_AUTO_TEST_CASE(explain_merges_lines_of_job_runner_and_leader) {
  const std::string log = TemporaryFile("explain_test.log");
  std::ofstream(log)
      << "2026-12-04 10:00:00,000 INFO n1 runner: runner lost, runner=w0 x=1\n"
      << "2026-12-04 10:00:01,000 INFO n1 sched: task started, task=" << kJobId
      << ".0.0.0 run=1 runner=w0 job_age_ms=3\n"
      << "2026-12-04 10:00:02,000 INFO n1 runner: runner lost, runner=w0 x=2\n"
      << "2026-12-04 10:00:02,500 INFO n1 runner: runner lost, runner=w1 x=3\n"
      << "2026-12-04 10:00:03,000 INFO n2 member: leading, fence=9\n"
      << "2026-12-04 10:00:04,000 INFO n2 jobs: job finished, job=" << kJobId
      << " state=succeeded\n";
  BOOST_TEST(Run({"explain", kJobId, log}) == 0);
  BOOST_TEST(OutputContains("x=2"));
  BOOST_TEST(OutputContains("fence=9"));
  BOOST_TEST(!OutputContains("x=1"));
  BOOST_TEST(!OutputContains("x=3"));
  BOOST_TEST(Run({"explain", "00000000000000ff", log}) ==
             static_cast<int>(exit_code::kNotFound));
  std::filesystem::remove(log);
}

BOOST_AUTO_TEST_CASE(explain_tells_why_a_job_was_refused) {
  const std::string log = TemporaryFile("explain_refusal_test.log");
  const auto refusal = [](const std::string& job, int retry_after_s) {
    return " INFO n1 admission: job refused, job=" + job +
           " queue=q team=t reason=pool_full retry_after_s=" +
           std::to_string(retry_after_s) + " forecast_ms=20 summary_age_ms=0\n";
  };
  std::ofstream(log) << "2026-12-04 10:00:00,000" << refusal(kJobId, 4)
                     << "2026-12-04 10:00:01,000"
                     << refusal("00000000000000ff", 9)
                     << "2026-12-04 10:00:04,000" << refusal(kJobId, 7);
  BOOST_TEST(Run({"explain", kJobId, log}) == 0);
  BOOST_TEST(OutputContains("refused 2 times"));
  BOOST_TEST(OutputContains("pool_full"));
  BOOST_TEST(OutputContains("after 7 s"));
  std::filesystem::remove(log);
}

BOOST_AUTO_TEST_CASE(settings_check_reports_location) {
  const std::string file = TemporaryFile("settings_test.json");
  std::ofstream(file) << "{\"fleet\": {\"name\": 5}}\n";
  BOOST_TEST(Run({"settings", "check", file}) ==
             static_cast<int>(exit_code::kFindings));
  BOOST_TEST(err.str().find("settings_test.json:1:") != std::string::npos);
  std::filesystem::remove(file);
}

BOOST_AUTO_TEST_CASE(unknown_command_is_usage_error) {
  BOOST_TEST(Run({"nonsense"}) == static_cast<int>(exit_code::kUsageError));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::ctl

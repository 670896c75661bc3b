#include "src/report/collector.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "src/node/node_metrics.h"
#include "src/report/html_page.h"
#include "src/report/text_page.h"
#include "src/settings/fleet_parser.h"

namespace radishwing::report {
namespace {

constexpr millis kStart = 1'700'000'000'000;

constexpr const char* kSettingsText =
    "{\"fleet\": {\"name\": \"f\"}, \"teams\": {\"uva\": {\"share\": 0.5, "
    "\"upper_limit\": 9}}, \"pools\": {\"p\": {\"target_hosts\": 2, "
    "\"spare\": true}}, \"services\": {\"s\": {\"pool\": \"p\", "
    "\"objective\": {\"good_ratio\": 0.9}}}, \"waves\": {\"w\": {}}}";

struct fixture {
  fixture() {
    Count("good", 1);
    Count("late", 1);
    first.SetPoolHosts("p", "active", 3);
    first.SetWaveHosts("w", "done", 2);
  }
  void Count(const std::string& outcome, int by) {
    for (int i = 0; i < by; ++i)
      first.CountSubmissionOutcome("s", "uva", outcome);
  }
  fleet_report CollectReportAt(millis now) {
    const std::map<std::string, node::node_metrics*> nodes = {
        {"first", &first}, {"second", &second}};
    const auto fetch = [&](const std::string& name) -> result<std::string> {
      if (name == "gone") return failure{failure_kind::kUnavailable, "<gone>"};
      return nodes.at(name)->Serialize();
    };
    // The first node is listed twice, like a node with two configured
    // addresses.
    return CollectReport(settings, {"first", "first", "second", "gone"}, fetch,
                         store, now);
  }

  settings::fleet_settings settings =
      std::get<0>(settings::ParseFleetSettings("s", kSettingsText, 3));
  node::node_metrics first{"n1", kStart};
  node::node_metrics second{"n2", kStart};
  record_store store = MakeMemoryStore();
};

// Feeds the metrics text of a real node into the report, so that the test fails
// if a metric, label or outcome is renamed only in the node or only in the
// report.
BOOST_FIXTURE_TEST_CASE(collector_computes_burn_from_node_metrics, fixture) {
  CollectReportAt(kStart);
  Count("good", 95);
  Count("late", 3);
  Count("failed", 2);
  Count("rejected", 1000);
  for (int i = 0; i < 4; ++i) first.CountHostMove("p");
  const fleet_report report = CollectReportAt(kStart + kMinuteMs);
  BOOST_REQUIRE(report.services.size() == 2);
  for (const service_budget& budget : report.services) {
    for (const budget_window& window : budget.windows) {
      BOOST_TEST(window.request_count == 100);
      BOOST_TEST(window.bad_request_count == 5);
      BOOST_TEST(window.burn_rate == 0.5, boost::test_tools::tolerance(1e-9));
    }
    BOOST_TEST(budget.budget_remaining == 0.5,
               boost::test_tools::tolerance(1e-9));
  }
  BOOST_TEST(report.services[0].windows[0].bad_requests_by_outcome[0] == 3);
  BOOST_TEST(report.services[0].windows[0].bad_requests_by_outcome.back() == 2);
  BOOST_TEST(report.pools.at(0).active_hosts == 3);
  BOOST_TEST(report.pools.at(0).incoming_moves_last_hour == 4);
  BOOST_TEST(report.waves.at(0).done_hosts == 2);
  BOOST_TEST(report.read_errors.size() == 1);
}

// Guards against a page that loads external resources and against markup
// injection through the error message of a failed read.
BOOST_FIXTURE_TEST_CASE(html_page_is_self_contained_and_escaped, fixture) {
  const fleet_report report = CollectReportAt(kStart);
  const std::string page = RenderHtml(report);
  BOOST_TEST(page.find("daemon gone: &lt;gone&gt;") != std::string::npos);
  for (const char* loads : {"http:", "https:", "src=", "@import", "<script"}) {
    BOOST_TEST(page.find(loads) == std::string::npos);
  }
  BOOST_TEST(page.find("<svg") != std::string::npos);
  BOOST_TEST(RenderText(report).find("Not included: daemon gone: <gone>") !=
             std::string::npos);
}

// Guards against accepting a scrape that was cut off in the middle of a line.
BOOST_AUTO_TEST_CASE(metric_text_malformed_line_is_refused) {
  const auto good = ParseMetricText(
      "# HELP a b\na{x=\"q\\\"\\\\\\n}\",y=\"\"} 1e3\nb 2 1700\nc +Inf\n");
  BOOST_REQUIRE(Ok(good));
  BOOST_TEST(Value(good)[0].LabelValue("x") == "q\"\\\n}");
  BOOST_TEST(Value(good)[0].value == 1000);
  for (const char* bad : {"a{x=\"q\"", "a{x=\"q} 1\n", "a 1x", "a", "{} 1"}) {
    BOOST_TEST(!Ok(ParseMetricText(bad)), bad);
  }
}

}  // namespace
}  // namespace radishwing::report

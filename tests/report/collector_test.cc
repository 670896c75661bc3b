#include "src/report/collector.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "src/metrics/metric_registry.h"
#include "src/report/html_page.h"
#include "src/report/text_page.h"
#include "src/settings/fleet_parser.h"

namespace radishwing::report {
namespace {

using metrics::metric;
using metrics::metric_registry;

constexpr millis kStart = 1'700'000'000'000;

constexpr const char* kText =
    "{\"fleet\": {\"name\": \"f\"}, \"teams\": {\"uva\": {\"share\": 0.5, "
    "\"upper_limit\": 9}}, \"pools\": {\"p\": {\"target_hosts\": 2, "
    "\"spare\": true}}, \"services\": {\"s\": {\"pool\": \"p\", "
    "\"objective\": {\"good_ratio\": 0.9}}}, \"waves\": {\"w\": {}}}";

struct fixture {
  fixture() {
    Count("good", 0);
    Count("late", 0);
    entry.Gauge(metric::kRunners, {.service = "s", .value = "serving"}).Set(10);
    for (metric_registry* control : {&control_a, &control_b}) {
      control->Gauge(metric::kPoolHosts, {.pool = "p", .value = "active"})
          .Set(3);
      control->Gauge(metric::kWaveHosts, {.wave = "w", .value = "done"}).Set(2);
    }
  }
  void Count(const std::string& outcome, double by) {
    entry
        .Counter(metric::kRequests,
                 {.service = "s", .team = "uva", .value = outcome})
        .Increment(by);
  }
  burn_report Report(millis now) {
    const std::map<std::string, metric_registry*> daemons = {
        {"entry", &entry}, {"a", &control_a}, {"b", &control_b}};
    const auto fetch = [&](const std::string& name) -> result<std::string> {
      if (name == "gone") return failure{failure_kind::kUnavailable, "<gone>"};
      return daemons.at(name)->Serialize();
    };
    // The entry is given twice, as two addresses of one daemon would be.
    return Collect(settings, {"entry", "entry", "a", "b", "gone"}, fetch, store,
                   now);
  }

  settings::fleet_settings settings =
      std::get<0>(settings::ParseFleetSettings("s", kText, 3));
  metric_registry entry{{"entry", "h1", "dc1"}};
  metric_registry control_a{{"control", "h1", "dc1"}};
  metric_registry control_b{{"control", "h2", "dc1"}};
  record_store store = MakeMemoryStore();
};

// Runs the registry's own text through the report, so that a renamed metric,
// label or outcome shows up here.
BOOST_FIXTURE_TEST_CASE(collector_computes_burn_from_daemon_metrics, fixture) {
  Report(kStart);
  Count("good", 95);
  Count("late", 3);
  Count("truncated", 2);
  Count("rejected", 1000);
  entry.Counter(metric::kSlotSeconds, {.team = "uva", .pool = "p"})
      .Increment(60 * 80 * 0.4);
  control_a.Counter(metric::kHostMoves, {.pool = "p"}).Increment(4);
  const burn_report report = Report(kStart + kMinuteMs);
  BOOST_REQUIRE(report.services.size() == 2);
  for (const service_burn& burn : report.services) {
    for (const burn_window& window : burn.windows) {
      BOOST_TEST(window.total == 100);
      BOOST_TEST(window.bad == 5);
      BOOST_TEST(window.burn == 0.5, boost::test_tools::tolerance(1e-9));
    }
    BOOST_TEST(burn.budget_left == 0.5, boost::test_tools::tolerance(1e-9));
  }
  BOOST_TEST(report.services[0].windows[0].by_outcome[0] == 3);
  BOOST_TEST(report.services[0].windows[0].by_outcome[3] == 2);
  // 10 runners with 8 slots for a minute.
  BOOST_TEST(report.teams.at(0).used == 0.4,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(report.pools.at(0).active == 3);
  BOOST_TEST(report.pools.at(0).moves_hour == 4);
  BOOST_TEST(report.waves.at(0).done == 2);
  BOOST_TEST(report.gaps.size() == 1);
}

// Guards against a page that loads something or that a daemon's message can
// inject markup into.
BOOST_FIXTURE_TEST_CASE(html_page_is_self_contained_and_escaped, fixture) {
  const burn_report report = Report(kStart);
  const std::string page = HtmlPage(report);
  BOOST_TEST(page.find("daemon gone: &lt;gone&gt;") != std::string::npos);
  for (const char* loads : {"http:", "https:", "src=", "@import", "<script"}) {
    BOOST_TEST(page.find(loads) == std::string::npos);
  }
  BOOST_TEST(page.find("<svg") != std::string::npos);
  BOOST_TEST(TextPage(report).find("Not included: daemon gone: <gone>") !=
             std::string::npos);
}

// Guards against half a scrape that would be taken for a whole one.
BOOST_AUTO_TEST_CASE(metric_text_malformed_line_is_refused) {
  const auto good = ParseMetricText(
      "# HELP a b\na{x=\"q\\\"\\\\\\n}\",y=\"\"} 1e3\nb 2 1700\nc +Inf\n");
  BOOST_REQUIRE(Ok(good));
  BOOST_TEST(Value(good)[0].Label("x") == "q\"\\\n}");
  BOOST_TEST(Value(good)[0].value == 1000);
  for (const char* bad : {"a{x=\"q\"", "a{x=\"q} 1\n", "a 1x", "a", "{} 1"}) {
    BOOST_TEST(!Ok(ParseMetricText(bad)), bad);
  }
}

}  // namespace
}  // namespace radishwing::report

#include "src/metrics/metric_registry.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/settings/golden_file.h"

namespace radishwing::metrics {
namespace {

// Guards against memory and scrape sizes that grow with the number of names.
BOOST_AUTO_TEST_CASE(metric_registry_too_many_names_share_one_series) {
  metric_registry registry({"entry", "h1", "dc1"});
  for (std::size_t i = 0; i < kMaxSeries + 10; ++i) {
    registry
        .Counter(metric::kSlotSeconds,
                 {.team = "t" + std::to_string(i), .pool = "p"})
        .Increment();
  }
  const auto& other =
      registry.Counter(metric::kSlotSeconds, {.team = "one-more", .pool = "p"});
  BOOST_TEST(other.Value() == 10);
  BOOST_TEST(registry.Counter(metric::kSlotSeconds, {.team = "t5", .pool = "p"})
                 .Value() == 1);
}

// Guards against label values that do not come from the table or the
// settings, such as a state name that was changed in one place only.
BOOST_AUTO_TEST_CASE(metric_registry_unlisted_value_is_exported_as_other) {
  metric_registry registry({"control", "h1", "dc1"});
  registry.Gauge(metric::kPoolHosts, {.pool = "gpu", .value = "Active!"})
      .Set(3);
  registry.Counter(metric::kRequests, {.service = "s", .value = "good"})
      .Increment();
  const std::string text = registry.Serialize();
  BOOST_TEST(text.find("radishwing_pool_hosts{data_centre=\"dc1\",host=\"h1\","
                       "program=\"control\",pool=\"gpu\",state=\"other\"} 3") !=
             std::string::npos);
  BOOST_TEST(text.find("service=\"s\",team=\"-\"} 1") != std::string::npos);
}

// Guards against rows in another order than the enumeration.
BOOST_AUTO_TEST_CASE(metric_table_rows_match_page_and_order) {
  for (std::size_t i = 0; i < MetricTable().size(); ++i) {
    BOOST_TEST(static_cast<std::size_t>(MetricTable()[i].id) == i);
  }
  BOOST_TEST(MetricPage() == settings::ReadSourceFile("docs/metrics.md"));
}

}  // namespace
}  // namespace radishwing::metrics

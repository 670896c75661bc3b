#include "src/metrics/metrics_port.h"

#define BOOST_TEST_DYN_LINK
#include <atomic>
#include <boost/test/unit_test.hpp>

#include "src/report/http_fetch.h"

namespace radishwing::metrics {
namespace {

// Guards against a load balancer that keeps sending to a process that stops,
// and against a restart of a process that is healthy but not ready.
BOOST_AUTO_TEST_CASE(metrics_port_not_ready_is_still_healthy) {
  metric_registry registry({"entry", "h1", "dc1"});
  std::atomic<bool> ready = true;
  std::atomic<int> scrapes = 0;
  metrics_hooks hooks;
  hooks.ready = [&] { return ready.load(); };
  hooks.before_scrape = [&] { ++scrapes; };
  auto port = metrics_port::Make("127.0.0.1:0", registry, hooks);
  BOOST_REQUIRE(Ok(port));
  const auto status = [&](const char* target) {
    auto response = report::Fetch(Value(port)->Address(),
                                  {.target = target, .deadline_ms = 20'000});
    return Ok(response) ? Value(response).status : 0;
  };
  BOOST_TEST(status("/readyz") == 200);
  ready = false;
  BOOST_TEST(status("/readyz") == 503);
  BOOST_TEST(status("/healthz") == 200);
  BOOST_TEST(status("/metrics") == 200);
  BOOST_TEST(scrapes == 1);
  BOOST_TEST(status("/v1/status") == 404);
}

BOOST_AUTO_TEST_CASE(metrics_port_address_in_use_is_an_error) {
  metric_registry registry({"entry", "h1", "dc1"});
  auto first = metrics_port::Make("127.0.0.1:0", registry, {});
  BOOST_REQUIRE(Ok(first));
  BOOST_TEST(!Ok(metrics_port::Make(Value(first)->Address(), registry, {})));
}

}  // namespace
}  // namespace radishwing::metrics

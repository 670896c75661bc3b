#include "src/sched/demand_forecast.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <limits>
#include <random>

namespace radishwing::sched {
namespace {

/// Feeds a forecast every 100 ms with jobs of random sizes.
struct forecast_fixture {
  /// Feeds the arrivals of `rate`, in cores, up to `end`.
  void FeedUntil(millis end, const std::function<double(millis)>& rate) {
    for (; now < end; now += 100) {
      std::poisson_distribution<int> jobs(rate(now) * 100 / kJobCoreMs);
      for (int i = jobs(random); i > 0; --i) {
        total += std::exponential_distribution<double>(1 / kJobCoreMs)(random);
      }
      subject.Record(now, total);
      reliable_ms += subject.IsReliable() ? 100 : 0;
    }
  }

  /// Returns the work of a pool whose turn is the first quarter of the period.
  static std::function<double(millis)> Turns(millis period) {
    return [period](millis at) {
      return at % period < period / 4 ? 1000.0 : 50.0;
    };
  }

  static constexpr double kJobCoreMs = 10000;  ///< Mean work of a job.
  millis now = 0;
  double total = 0;
  millis reliable_ms = 0;  ///< Time with a forecast.
  std::mt19937_64 random{7};
  demand_forecast subject;
};

BOOST_FIXTURE_TEST_SUITE(demand_forecast_periods, forecast_fixture)

BOOST_AUTO_TEST_CASE(period_is_found_after_two_whole_periods) {
  FeedUntil(32000, Turns(16000));
  BOOST_TEST(reliable_ms == 0);
  FeedUntil(37000, Turns(16000));
  BOOST_TEST(subject.IsReliable());
  BOOST_TEST(std::abs(subject.PeriodMs() - 16000) <= 500);
  BOOST_TEST(subject.ExpectedRate(49000, 51000) > 500);
  BOOST_TEST(subject.ExpectedRate(40000, 46000) < 200);
}

// Guards against a period that is read into chance.
BOOST_AUTO_TEST_CASE(arrivals_without_a_pattern_have_hardly_a_forecast) {
  FeedUntil(300000, [](millis) { return 300.0; });
  BOOST_TEST(reliable_ms < 30000);
}

BOOST_AUTO_TEST_CASE(pattern_that_stops_withdraws_the_forecast) {
  FeedUntil(64000, Turns(16000));
  BOOST_REQUIRE(subject.IsReliable());
  FeedUntil(68000, [](millis) { return 50.0; });
  BOOST_TEST(!subject.IsReliable());
  BOOST_TEST(subject.ExpectedRate(80000, 82000) == 0);
}

BOOST_AUTO_TEST_CASE(changed_period_is_learned_anew) {
  FeedUntil(64000, Turns(16000));
  const auto changed = Turns(22000);
  FeedUntil(80000, changed);
  BOOST_TEST(!subject.IsReliable());
  FeedUntil(64000 + 5 * 22000, changed);
  BOOST_TEST(subject.IsReliable());
  BOOST_TEST(std::abs(subject.PeriodMs() - 22000) <= 500);
}

BOOST_AUTO_TEST_CASE(recent_rate_ignores_a_single_large_job) {
  FeedUntil(3000, [](millis) { return 0.0; });
  total += 1e6;
  FeedUntil(3400, [](millis) { return 0.0; });
  BOOST_TEST(subject.RecentRate() == 0);
  FeedUntil(6000, [](millis) { return 1000.0; });
  BOOST_TEST(subject.RecentRate() > 500);
}

// Guards against a forecast after values that no counter should have.
BOOST_AUTO_TEST_CASE(unusual_totals_and_times_start_anew) {
  FeedUntil(64000, Turns(16000));
  subject.Record(now, std::nan(""));
  BOOST_TEST(!subject.IsReliable());
  for (const double value : {std::numeric_limits<double>::infinity(), -1.0, 0.0,
                             1e300, std::numeric_limits<double>::max(), 5.0}) {
    for (int i = 0; i < 3; ++i) subject.Record(now, value);
    subject.Record(now - 5000, value);
    subject.Record(now + 1000000, value);
    BOOST_TEST(!subject.IsReliable());
    BOOST_TEST(std::isfinite(subject.RecentRate()));
    BOOST_TEST(subject.ExpectedRate(now, now + 2000) == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

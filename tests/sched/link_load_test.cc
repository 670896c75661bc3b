#include "src/sched/link_load.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::sched {
namespace {

constexpr double kBytesPerS = 250'000;

struct link_load_fixture {
  /// Records traffic at a constant rate for 5 s.
  void Transfer(double bytes_per_s) {
    for (int i = 0; i < 250; ++i) {
      now += kStepMs;
      totals.sent += static_cast<std::uint64_t>(bytes_per_s * kStepMs / 1000);
      subject.Record(now, totals);
    }
  }
  static constexpr millis kStepMs = 20;
  millis now = 1000;
  traffic_totals totals;
  link_load subject{kBytesPerS};
};

BOOST_FIXTURE_TEST_SUITE(link_load_rules, link_load_fixture)

BOOST_AUTO_TEST_CASE(idle_link_delays_nothing) {
  Transfer(0.1 * kBytesPerS);
  BOOST_TEST(!subject.IsCongested());
  BOOST_TEST(subject.PollSpacing() == 0);
  BOOST_TEST(subject.WriteDeferral() == 0);
}

BOOST_AUTO_TEST_CASE(full_link_spaces_polls_and_defers_writes) {
  Transfer(0.9 * kBytesPerS);
  BOOST_TEST(subject.IsCongested());
  BOOST_TEST(subject.PollSpacing() > 0);
  BOOST_TEST(subject.WriteDeferral() > 0);
  Transfer(0);
  BOOST_TEST(!subject.IsCongested());
}

BOOST_AUTO_TEST_CASE(busier_direction_counts) {
  totals.received = 0;
  for (int i = 0; i < 100; ++i) {
    now += 50;
    totals.received += static_cast<std::uint64_t>(kBytesPerS / 20);
    subject.Record(now, totals);
  }
  BOOST_TEST(subject.Utilisation() > 0.9);
}

BOOST_AUTO_TEST_CASE(unknown_capacity_never_delays) {
  subject = link_load(0);
  Transfer(1e9);
  BOOST_TEST(!subject.IsCongested());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

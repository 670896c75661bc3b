#include "src/sched/link_load.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "src/sched/start_pacer.h"

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
  /// Starts the permitted ones of `wanted_per_s` tasks for 5 s; each causes
  /// kBytesPerTask. Returns the number of starts in the last second.
  int StartTasks(int wanted_per_s) {
    int last_second = 0;
    for (int i = 0; i < 250; ++i) {
      now += kStepMs;
      subject.Record(now, totals);
      const int wanted = wanted_per_s * static_cast<int>(kStepMs) / 1000;
      const int starts = std::clamp(pacer.Allowance(now, subject), 0, wanted);
      pacer.RecordStarts(starts);
      totals.sent += static_cast<std::uint64_t>(starts) * kBytesPerTask;
      if (i >= 200) last_second += starts;
    }
    return last_second;
  }

  static constexpr millis kStepMs = 20;
  static constexpr int kBytesPerTask = 1200;
  millis now = 1000;
  traffic_totals totals;
  link_load subject{kBytesPerS};
  start_pacer pacer;
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
  BOOST_TEST(StartTasks(100'000) == 100'000);
  BOOST_TEST(!subject.IsCongested());
}

// The load that the pacer answers: 400 tasks a second of 1,200 bytes each on a
// link of 250 kB/s, where unlimited starts delayed the renewal of the lease.
BOOST_AUTO_TEST_CASE(starts_are_limited_to_what_the_link_carries) {
  const int starts = StartTasks(400);
  BOOST_TEST(starts > 100);
  BOOST_TEST(starts * kBytesPerTask <= kBytesPerS);
}

BOOST_AUTO_TEST_CASE(starts_are_not_limited_on_a_wide_link) {
  subject = link_load(100 * kBytesPerS);
  BOOST_TEST(StartTasks(400) == 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

#include "src/report/windowed_counters.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "src/report/record_updater.h"

namespace radishwing::report {
namespace {

constexpr std::size_t kFiveMinuteWindow = 0;
constexpr std::size_t kHourWindow = 1;
constexpr std::size_t kThreeDayWindow = 3;
constexpr millis kStart = 1'700'000'000'000;

counters_by_process MakeCounters(const std::string& process,
                                 std::uint64_t good) {
  return {{process, {{"uva/good", good}}}};
}

BOOST_AUTO_TEST_SUITE(windowed_counters_tests)

BOOST_AUTO_TEST_CASE(windowed_counters_drop_increases_outside_window) {
  windowed_counters record;
  record.AddScrape(kStart, MakeCounters("entry/h1@1", 1000));
  record.AddScrape(kStart + kMinuteMs, MakeCounters("entry/h1@1", 1100));
  BOOST_TEST(record.SumIncreases("uva/good", kFiveMinuteWindow) == 100);
  record.AddScrape(kStart + 20 * kMinuteMs, MakeCounters("entry/h1@1", 1100));
  BOOST_TEST(record.SumIncreases("uva/good", kFiveMinuteWindow) == 0);
  BOOST_TEST(record.SumIncreases("uva/good", kHourWindow) == 100);
  record.AddScrape(kStart + 200 * kMinuteMs, MakeCounters("entry/h1@1", 1100));
  BOOST_TEST(record.SumIncreases("uva/good", kHourWindow) == 0);
  BOOST_TEST(record.SumIncreases("uva/good", kThreeDayWindow) == 100);
  BOOST_TEST(record.CoverageMs(kHourWindow) == 60 * kMinuteMs);
  BOOST_TEST(record.CoverageMs(kThreeDayWindow) == 200 * kMinuteMs);
}

// Guards against negative, huge or missing increases after a node restarts and
// its counters start again at zero.
BOOST_AUTO_TEST_CASE(windowed_counters_restarted_process_counts_from_zero) {
  windowed_counters record;
  record.AddScrape(kStart, MakeCounters("entry/h1@1", 1000));
  record.AddScrape(kStart + kMinuteMs, MakeCounters("entry/h1@1", 1010));
  record.AddScrape(kStart + 2 * kMinuteMs, MakeCounters("entry/h1@2", 30));
  BOOST_TEST(record.SumIncreases("uva/good", kHourWindow) == 40);
  // This scrape was taken before the latest scrape but arrives afterwards.
  record.AddScrape(kStart + kMinuteMs, MakeCounters("entry/h1@1", 1005));
  record.AddScrape(kStart + 3 * kMinuteMs, MakeCounters("entry/h1@2", 31));
  BOOST_TEST(record.SumIncreases("uva/good", kHourWindow) == 41);
}

// Guards against lost or double-counted increases after a period without
// scrapes.
BOOST_AUTO_TEST_CASE(windowed_counters_gap_is_spread_evenly) {
  windowed_counters record;
  record.AddScrape(kStart, MakeCounters("entry/h1@1", 0));
  record.AddScrape(kStart + 10 * 60 * kMinuteMs,
                   MakeCounters("entry/h1@1", 6001));
  BOOST_TEST(record.SumIncreases("uva/good", kThreeDayWindow) == 6001);
  const std::uint64_t hour = record.SumIncreases("uva/good", kHourWindow);
  BOOST_TEST(hour >= 600);
  BOOST_TEST(hour <= 651);  // At most one 5-minute bucket more.
}

// Guards against counting a scrape twice when the store applied a write but its
// response was lost, or when two reports write at the same time.
BOOST_AUTO_TEST_CASE(windowed_counters_lost_response_and_conflict_count_once) {
  const record_store memory = MakeMemoryStore();
  BOOST_REQUIRE(Ok(
      AddScrapeToRecord(memory, "s", kStart, MakeCounters("entry/h1@1", 5))));
  int writes = 0;
  record_store lossy = memory;
  lossy.write = [&](const std::string& name, const std::string& text,
                    std::uint64_t version) -> result<success> {
    const result<success> written = memory.write(name, text, version);
    if (++writes == 1) return failure{failure_kind::kTimeout, "lost"};
    if (writes == 2) {
      // Another report writes between this update's read and write.
      AddScrapeToRecord(memory, "s", kStart + kMinuteMs,
                        MakeCounters("entry/h1@1", 9));
      return failure{failure_kind::kConflict, "changed"};
    }
    return written;
  };
  const auto record = AddScrapeToRecord(lossy, "s", kStart + kMinuteMs,
                                        MakeCounters("entry/h1@1", 8));
  BOOST_REQUIRE(Ok(record));
  BOOST_TEST(writes == 3);
  BOOST_TEST(Value(record).SumIncreases("uva/good", kHourWindow) == 4);
}

// Guards against records that exceed the store's limit at the scale expected in
// two years: 250 teams in one service, 16 nodes, every bucket filled.
BOOST_AUTO_TEST_CASE(windowed_counters_at_full_scale_fits_the_store) {
  windowed_counters record;
  counters_by_process counters;
  for (int step = 0; step <= 160; ++step) {
    for (int host = 0; host < 16; ++host) {
      for (int team = 0; team < 250; ++team) {
        const std::string name = "team-number-" + std::to_string(team);
        counter_values& values =
            counters["entry/entry-host-" + std::to_string(host) + "@" +
                     std::to_string(kStart)];
        values[name + "/good"] += 1000;
        if (team % 10 == 0) values[name + "/refused"] += 1;
      }
    }
    record.AddScrape(kStart + step * 30 * kMinuteMs, counters);
  }
  const result<std::string> text = record.Encode();
  BOOST_REQUIRE(Ok(text));
  BOOST_TEST_MESSAGE("burn record at full scale: " << Value(text).size());
  const auto decoded = windowed_counters::Decode(Value(text));
  BOOST_REQUIRE(Ok(decoded));
  BOOST_TEST(Value(Value(decoded).Encode()) == Value(text));
  BOOST_TEST(!Ok(windowed_counters::Decode("{\"first_ms\":1}")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::report

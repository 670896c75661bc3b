#include "src/report/collector.h"

#include "src/report/record_updater.h"

namespace radishwing::report {
namespace {

std::vector<scrape> ScrapeAll(const std::vector<std::string>& daemons,
                              const metrics_fetch& fetch,
                              std::vector<std::string>& gaps) {
  std::vector<scrape> scrapes;
  for (const std::string& address : daemons) {
    result<std::string> text = fetch(address);
    if (!Ok(text)) {
      gaps.push_back("daemon " + address + ": " + Error(text).message);
      continue;
    }
    result<std::vector<metric_sample>> samples = ParseMetricText(Value(text));
    if (!Ok(samples)) {
      gaps.push_back("daemon " + address + ": " + Error(samples).message);
      continue;
    }
    scrapes.push_back({address, Value(std::move(samples))});
  }
  return scrapes;
}

}  // namespace

burn_report Collect(const settings::fleet_settings& settings,
                    const std::vector<std::string>& daemons,
                    const metrics_fetch& fetch, const record_store& store,
                    millis now) {
  std::vector<std::string> gaps;
  const std::vector<scrape> scrapes = ScrapeAll(daemons, fetch, gaps);
  std::map<std::string, process_counters> counters = CollectCounters(scrapes);
  // A service without requests is recorded too: its windows are covered.
  counters[kFleetRecord];
  for (const auto& [name, service] : settings.services) {
    counters[ServiceRecord(name)];
  }
  std::map<std::string, window_record> records;
  for (const auto& [name, scraped] : counters) {
    result<window_record> record = UpdateRecord(store, name, now, scraped);
    if (Ok(record)) {
      records[name] = Value(std::move(record));
    } else {
      gaps.push_back("windows of " + name + ": " + Error(record).message);
    }
  }
  burn_report report = MakeBurnReport(settings, scrapes, records, now);
  report.gaps = std::move(gaps);
  return report;
}

}  // namespace radishwing::report

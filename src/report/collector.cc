#include "src/report/collector.h"

#include "src/report/record_updater.h"

namespace radishwing::report {
namespace {

std::vector<scrape> ScrapeAll(const std::vector<std::string>& addresses,
                              const metrics_fetcher& fetch,
                              std::vector<std::string>& read_errors) {
  std::vector<scrape> scrapes;
  for (const std::string& address : addresses) {
    result<std::string> text = fetch(address);
    if (!Ok(text)) {
      read_errors.push_back("daemon " + address + ": " + Error(text).message);
      continue;
    }
    result<std::vector<metric_sample>> samples = ParseMetricText(Value(text));
    if (!Ok(samples)) {
      read_errors.push_back("daemon " + address + ": " +
                            Error(samples).message);
      continue;
    }
    scrapes.push_back({address, Value(std::move(samples))});
  }
  return scrapes;
}

}  // namespace

fleet_report CollectReport(const settings::fleet_settings& settings,
                           const std::vector<std::string>& addresses,
                           const metrics_fetcher& fetch,
                           const record_store& store, millis now) {
  std::vector<std::string> read_errors;
  const std::vector<scrape> scrapes = ScrapeAll(addresses, fetch, read_errors);
  std::map<std::string, counters_by_process> counters =
      CollectCounters(scrapes);
  // Adds empty counters for services without requests, because the update of a
  // service's record also extends the coverage of its windows.
  counters[kFleetRecordName];
  for (const auto& [name, service] : settings.services) {
    counters[ServiceRecordName(name)];
  }
  std::map<std::string, windowed_counters> records;
  for (const auto& [name, scraped] : counters) {
    result<windowed_counters> record =
        AddScrapeToRecord(store, name, now, scraped);
    if (Ok(record)) {
      records[name] = Value(std::move(record));
    } else {
      read_errors.push_back("windows of " + name + ": " +
                            Error(record).message);
    }
  }
  fleet_report report = MakeFleetReport(settings, scrapes, records, now);
  report.read_errors = std::move(read_errors);
  return report;
}

}  // namespace radishwing::report

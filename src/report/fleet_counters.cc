#include "src/report/fleet_counters.h"

#include <cmath>
#include <set>

namespace radishwing::report {
namespace {

// Name of the process that exported a scrape; empty if it does not tell.
std::string ProcessName(const scrape& scraped) {
  for (const metric_sample& sample : scraped.samples) {
    if (sample.name != "radishwing_process_start_seconds") continue;
    return std::string(sample.Label("program")) + "/" +
           std::string(sample.Label("host")) + "@" +
           std::to_string(std::llround(sample.value * 1000));
  }
  return "";
}

void AddCounter(process_counters& record, const std::string& process,
                const std::string& series, double value) {
  // Larger values are not exact in a double.
  if (!(value >= 0) || value > 9e15) return;
  record[process][series] += static_cast<std::uint64_t>(std::llround(value));
}

void AddSample(std::map<std::string, process_counters>& records,
               const std::string& process, const metric_sample& sample) {
  const std::string team(sample.Label("team"));
  if (sample.name == "radishwing_requests_total") {
    AddCounter(records[ServiceRecord(sample.Label("service"))], process,
               team + "/" + std::string(sample.Label("outcome")), sample.value);
  } else if (sample.name == "radishwing_host_moves_total") {
    AddCounter(records[kFleetRecord], process,
               "moves/" + std::string(sample.Label("pool")), sample.value);
  } else if (sample.name == "radishwing_slot_seconds_total") {
    AddCounter(records[kFleetRecord], process, "slot_ms/" + team,
               sample.value * 1000);
  }
}

}  // namespace

std::string ServiceRecord(std::string_view service) {
  return "service-" + std::string(service);
}

std::map<std::string, process_counters> CollectCounters(
    std::span<const scrape> scrapes) {
  std::map<std::string, process_counters> records;
  std::set<std::string> processes;
  for (const scrape& scraped : scrapes) {
    const std::string process = ProcessName(scraped);
    // The same daemon may be given by two addresses.
    if (process.empty() || !processes.insert(process).second) continue;
    for (const metric_sample& sample : scraped.samples) {
      AddSample(records, process, sample);
    }
  }
  return records;
}

}  // namespace radishwing::report

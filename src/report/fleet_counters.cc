#include "src/report/fleet_counters.h"

#include <cmath>
#include <set>

namespace radishwing::report {
namespace {

// Identity of the process that exported the scrape; empty if the start-time
// metric is missing.
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
  // Doubles above 2^53, about 9e15, do not represent every integer.
  if (!(value >= 0) || value > 9e15) return;
  record[process][series] += static_cast<std::uint64_t>(std::llround(value));
}

void AddSample(std::map<std::string, process_counters>& records,
               const std::string& process, const metric_sample& sample) {
  const std::string team(sample.Label("team"));
  if (sample.name == "radishwing_requests_total") {
    AddCounter(records[ServiceRecordName(sample.Label("service"))], process,
               team + "/" + std::string(sample.Label("outcome")), sample.value);
  } else if (sample.name == "radishwing_host_moves_total") {
    AddCounter(records[kFleetRecordName], process,
               "moves/" + std::string(sample.Label("pool")), sample.value);
  } else if (sample.name == "radishwing_slot_seconds_total") {
    AddCounter(records[kFleetRecordName], process, "slot_ms/" + team,
               sample.value * 1000);
  }
}

}  // namespace

std::string ServiceRecordName(std::string_view service) {
  return "service-" + std::string(service);
}

std::map<std::string, process_counters> CollectCounters(
    std::span<const scrape> scrapes) {
  std::map<std::string, process_counters> records;
  std::set<std::string> processes;
  for (const scrape& scraped : scrapes) {
    const std::string process = ProcessName(scraped);
    // Two of the configured addresses may belong to the same daemon.
    if (process.empty() || !processes.insert(process).second) continue;
    for (const metric_sample& sample : scraped.samples) {
      AddSample(records, process, sample);
    }
  }
  return records;
}

}  // namespace radishwing::report

#include "src/report/fleet_counters.h"

#include <cmath>
#include <set>

namespace radishwing::report {
namespace {

// Returns the name of the process that exported the metrics,
// `<program>/<host>@<start>`. Returns an empty string if the start time of the
// process is missing.
std::string ProcessName(const scrape& scraped) {
  for (const metric_sample& sample : scraped.samples) {
    if (sample.name != "radishwing_process_start_seconds") continue;
    return std::string(sample.LabelValue("program")) + "/" +
           std::string(sample.LabelValue("host")) + "@" +
           std::to_string(std::llround(sample.value * 1000));
  }
  return "";
}

void AddCounter(counters_by_process& record, const std::string& process,
                const std::string& series, double value) {
  // Doubles above 2^53, about 9e15, do not represent every integer.
  if (!(value >= 0) || value > 9e15) return;
  record[process][series] += static_cast<std::uint64_t>(std::llround(value));
}

void AddSample(std::map<std::string, counters_by_process>& records,
               const std::string& process, const metric_sample& sample) {
  const std::string team(sample.LabelValue("team"));
  if (sample.name == "radishwing_requests_total") {
    AddCounter(records[ServiceRecordName(sample.LabelValue("service"))],
               process, team + "/" + std::string(sample.LabelValue("outcome")),
               sample.value);
  } else if (sample.name == "radishwing_host_moves_total") {
    AddCounter(records[kFleetRecordName], process,
               "moves/" + std::string(sample.LabelValue("pool")), sample.value);
  } else if (sample.name == "radishwing_slot_seconds_total") {
    AddCounter(records[kFleetRecordName], process, "slot_ms/" + team,
               sample.value * 1000);
  }
}

}  // namespace

std::string ServiceRecordName(std::string_view service) {
  return "service-" + std::string(service);
}

std::map<std::string, counters_by_process> CollectCounters(
    std::span<const scrape> scrapes) {
  std::map<std::string, counters_by_process> records;
  std::set<std::string> processes;
  for (const scrape& scraped : scrapes) {
    const std::string process = ProcessName(scraped);
    // Counts a node once, even if two of the given addresses belong to the
    // node.
    if (process.empty() || !processes.insert(process).second) continue;
    for (const metric_sample& sample : scraped.samples) {
      AddSample(records, process, sample);
    }
  }
  return records;
}

}  // namespace radishwing::report

#include "src/metrics/metric_table.h"

namespace radishwing::metrics {
namespace {

using enum metric;
using enum metric_type;

const metric_row kRows[] = {
    {kRequests, "radishwing_requests_total", kCounter, "service,team,outcome",
     "good|late|refused|unknown|truncated|cut_off|rejected",
     "Requests by outcome, each counted once. `good`: complete within the "
     "objective's latency; `late`: complete after it; `refused`: not run, for "
     "lack of room or time; `unknown`: may have run; `truncated`: connection "
     "closed during the response; `cut_off`: refused since the data centre "
     "is cut off; `rejected`: the caller's mistake (4xx), not counted "
     "against the objective."},
    {kRequestSeconds, "radishwing_request_duration_seconds", kHistogram,
     "service", "", "From the request's header to the end of the response."},
    {kWaitSeconds, "radishwing_request_wait_seconds", kHistogram,
     "service,class", "interactive|long|urgent",
     "Time in the fair queue of requests that were started."},
    {kRequestBytes, "radishwing_body_bytes_total", kCounter,
     "service,direction", "request|response", "Bodies forwarded."},
    {kRetries, "radishwing_retries_total", kCounter, "service,result",
     "sent|budget_used_up", "Attempts after the first one of a request."},
    {kWaitingRequests, "radishwing_waiting_requests", kGauge, "service,team",
     "", "Requests now in the fair queue."},
    {kRunningRequests, "radishwing_running_requests", kGauge, "service,team",
     "", "Requests now at a runner."},
    {kSlotSeconds, "radishwing_slot_seconds_total", kCounter, "pool,team", "",
     "Slot time used."},
    {kConnections, "radishwing_connections", kGauge, "side", "caller|runner",
     "Open connections."},
    {kRunners, "radishwing_runners", kGauge, "service,state",
     "serving|ejected|leaving", "Runners in the runner table."},
    {kCutOffSeconds, "radishwing_cut_off_seconds", kGauge, "", "",
     "How long the data centre has been unable to confirm its settings; 0 "
     "while it can."},
    {kPoolHosts, "radishwing_pool_hosts", kGauge, "pool,state",
     "active|draining|empty|maintenance|failed",
     "Hosts of the data centre by pool and state. Every control of a data "
     "centre exports the same numbers."},
    {kHostMoves, "radishwing_host_moves_total", kCounter, "pool", "",
     "Moves of hosts into the pool that this control started."},
    {kWaveHosts, "radishwing_wave_hosts", kGauge, "wave,state",
     "waiting|in_progress|done|unhealthy",
     "Hosts of the data centre by wave and progress."},
    {kTokens, "radishwing_tokens", kGauge, "team,state", "free|entry|pending",
     "Tokens of the team's upper limit held here: free, with the entry, or "
     "to be returned after a lowered limit."},
    {kTeamLimit, "radishwing_team_limit_tokens", kGauge, "team", "",
     "Upper limit now in effect."},
    {kClaims, "radishwing_claims", kGauge, "state", "running|finished",
     "Request claims held in memory."},
    {kMembers, "radishwing_members", kGauge, "state", "alive|suspected|failed",
     "Controls by state, seen from here."},
    {kJobs, "radishwing_jobs", kGauge, "service,state",
     "waiting|running|unknown", "Accepted jobs that have not ended."},
    {kStoreCalls, "radishwing_store_calls_total", kCounter, "result",
     "done|conflict|failed|timeout", "Calls to the key-value store."},
    {kStoreSeconds, "radishwing_store_call_seconds", kHistogram, "", "",
     "Duration of calls to the key-value store, without watches."},
    {kPeerBytes, "radishwing_peer_bytes_total", kCounter, "direction",
     "sent|received", "Bytes between controls."},
    {kSettingsRevision, "radishwing_settings_revision", kGauge, "", "",
     "Revision of the settings in effect here."},
    {kTableVersion, "radishwing_table_version", kGauge, "", "",
     "Version of the runner table in effect here."},
    {kRingDrops, "radishwing_ring_rejections_total", kCounter, "ring",
     "serve_to_link|link_to_serve|control|other",
     "Items that a full ring rejected or dropped."},
    {kReady, "radishwing_ready", kGauge, "", "",
     "1 while `/readyz` succeeds, else 0."},
    {kProcessStart, "radishwing_process_start_seconds", kGauge, "", "",
     "Start of the process, in seconds since the Unix epoch. Tells the burn "
     "report that counters start from 0."},
};

constexpr double kBuckets[] = {
    0.0003, 0.0005, 0.001, 0.0015, 0.003, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25,   0.5,    1,     2.5,    5,     9.4,   30,   60,    300};

constexpr std::string_view kIntroduction = R"(# Metrics

This page is made from the table in `src/metrics/metric_table.cc`; a test
compares the two. `GET /metrics` on the process's `metrics_address` answers in
the Prometheus text format. Every series has the labels `program`, `host` and
`data_centre`. Durations are in seconds, sizes in bytes.

Names in `service`, `team`, `pool` and `wave` come from the settings only,
never from a request. `-` stands for no team (open services). A metric has at
most 8,000 series per process; further names are counted under `other`.

)";

std::string_view TypeName(metric_type type) {
  switch (type) {
    case kCounter:
      return "counter";
    case kGauge:
      return "gauge";
    case kHistogram:
      return "histogram";
  }
  return "";
}

std::string LabelText(const metric_row& row) {
  std::string text;
  for (char c : row.labels)
    text += c == ',' ? std::string(", ") : std::string{c};
  if (row.values.empty()) return text;
  text += " (";
  for (char c : row.values)
    text += c == '|' ? std::string(", ") : std::string{c};
  return text + ")";
}

}  // namespace

std::span<const metric_row> MetricTable() { return kRows; }

const metric_row& MetricRow(metric id) {
  return kRows[static_cast<std::size_t>(id)];
}

std::span<const double> LatencyBuckets() { return kBuckets; }

std::string MetricPage() {
  std::string page(kIntroduction);
  page += "Latency buckets, upper bounds in seconds:";
  for (double bound : kBuckets) {
    std::string number = std::to_string(bound);
    number.erase(number.find_last_not_of('0') + 1);
    if (number.ends_with('.')) number.pop_back();
    page += ' ' + number;
  }
  page +=
      ".\n\n| name | type | labels | meaning |\n| --- | --- | --- | --- |\n";
  for (const metric_row& row : kRows) {
    page.append("| `").append(row.name).append("` | ");
    page.append(TypeName(row.type)).append(" | ").append(LabelText(row));
    page.append(row.labels.empty() ? "| " : " | ").append(row.doc);
    page += " |\n";
  }
  return page;
}

}  // namespace radishwing::metrics

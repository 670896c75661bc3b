#include "src/control/host_board.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/control/host_steps.h"
#include "src/maintenance/ledger_transitions.h"
#include "src/requests/roster_record.h"

namespace radishwing::control {

using maintenance::host_record;
using maintenance::host_state;

host_board::host_board(kj::Timer& timer, clock now,
                       const control_options& options, store_port& store,
                       peer_mesh& mesh, settings_keeper& keeper,
                       fleet_poller& poller, entry_registry& entries,
                       const record_watch& roster)
    : clock_(std::move(now)),
      options_(options),
      mesh_(mesh),
      keeper_(keeper),
      poller_(poller),
      entries_(entries),
      started_ms_(clock_.Now()),
      ledgers_(timer, options, store, "ledger/"),
      orders_(timer, options, store, "order/"),
      roster_(roster) {}

void host_board::Start() {
  ledgers_.Start();
  orders_.Start();
}

void host_board::Stop() {
  ledgers_.Stop();
  orders_.Stop();
}

bool host_board::Complete() const {
  // Members that no heartbeat has reached yet must not be missed in a drain.
  return poller_.Complete() && ledgers_.Known() && orders_.Known() &&
         roster_.Known() && keeper_.Tree() &&
         clock_.Now() - started_ms_ >= options_.timing.members.failed_ms;
}

const host_record* host_board::Record(const std::string& host) const {
  const auto& records = poller_.Sources().records;
  auto found = records.find(host);
  if (found == records.end() || !found->second.record) return nullptr;
  return &*found->second.record;
}

const maintenance::ledger_record* host_board::Ledger(const std::string& pool) {
  auto item = ledgers_.Items().find(host_steps::LedgerKey(pool));
  if (item == ledgers_.Items().end()) return nullptr;
  parsed_ledger& cached = parsed_[pool];
  if (cached.version != item->second.version) {
    auto parsed = maintenance::ParseLedgerRecord(item->second.value);
    cached.version = item->second.version;
    cached.record.reset();
    if (Ok(parsed)) cached.record = std::move(Value(parsed));
  }
  return cached.record ? &*cached.record : nullptr;
}

std::optional<order_record> host_board::Order(const std::string& host) const {
  const auto& records = poller_.Sources().records;
  auto found = records.find(host);
  if (found == records.end()) return std::nullopt;
  auto item = orders_.Items().find(OrderKey(found->second.data_centre, host));
  if (item == orders_.Items().end()) return std::nullopt;
  auto parsed = ParseOrderRecord(item->second.value);
  if (!Ok(parsed)) return std::nullopt;
  return Value(parsed);
}

std::vector<std::string> host_board::Members() const {
  std::set<std::string> members;
  for (const auto& [key, item] : roster_.Items()) {
    auto roster = requests::ParseRosterRecord(item.value);
    if (!Ok(roster)) continue;
    for (const auto& member : Value(roster).members) {
      members.emplace(requests::HostOf(member.id));
    }
  }
  for (const membership::member& row : mesh_.Rows()) {
    const bool ended = row.state == membership::member_state::kFailed ||
                       row.state == membership::member_state::kLeft;
    // The entry of a control that ended may go on until its host is gone and
    // the longest run time has passed.
    const bool gone = ended && poller_.AbsentSinceMs(row.host) > 0 &&
                      mesh_.Members().SilentMs(row.host, clock_.Now()) >=
                          entries_.entry_gone_ms;
    if (!gone) members.insert(row.host);
  }
  return {members.begin(), members.end()};
}

std::vector<maintenance::drain_confirmation> host_board::Confirmations(
    const std::string& host) {
  auto rows = confirmations_.Of(host);
  const host_record* record = Record(host);
  const std::uint64_t version = poller_.VersionOf(host);
  auto own = entries_.HostUse(host, version);
  auto jobs = jobs_on ? jobs_on(host) : std::optional<std::uint32_t>(0);
  if (record != nullptr && version != 0 && own.confirmed && jobs) {
    rows.push_back({options_.host, record->epoch, own.in_flight + *jobs});
  }
  return rows;
}

std::vector<std::string> host_board::Unconfirmed(const host_record& record) {
  const auto rows = Confirmations(record.host);
  std::vector<std::string> missing;
  for (const std::string& member : Members()) {
    const std::vector<std::string> one = {member};
    if (!maintenance::DrainComplete(record, one, rows, 0)) {
      missing.push_back(member);
    }
  }
  return missing;
}

std::uint32_t host_board::InFlight(const std::string& host) {
  std::uint32_t count = entries_.HostUse(host, 0).in_flight;
  for (const auto& row : confirmations_.Of(host)) count += row.in_flight;
  return count;
}

std::uint32_t host_board::Running(const std::string& host) const {
  std::uint32_t running = 0;
  for (const auto& runner : poller_.Sources().live.runners) {
    if (runner.host == host) running += runner.running;
  }
  return running;
}

bool host_board::Quiet(const host_record& record) {
  return maintenance::DrainComplete(
      record, Members(), Confirmations(record.host), Running(record.host));
}

void host_board::Track() {
  const millis now = clock_.Now();
  for (const auto& [host, view] : poller_.Sources().records) {
    if (view.data_centre != options_.data_centre || !view.record) continue;
    since& held = since_[host];
    if (held.epoch != view.epoch) held = {view.epoch, now, 0};
    if (view.record->state != host_state::kDraining) {
      confirmations_.Forget(host);
    } else if (!Quiet(*view.record)) {
      held.quiet_ms = 0;
    } else if (held.quiet_ms == 0) {
      held.quiet_ms = now;
    }
  }
}

std::optional<host_facts> host_board::Facts(const std::string& host) {
  const host_record* record = Record(host);
  if (record == nullptr) return std::nullopt;
  host_facts facts;
  facts.record = *record;
  const table_sources& sources = poller_.Sources();
  auto info = sources.hosts.find(host);
  facts.listed = info != sources.hosts.end();
  if (facts.listed) facts.platform = info->second.state;
  for (const auto& live : sources.live.hosts) {
    if (live.host == host) facts.leaving = live.leaving;
  }
  const millis absent = poller_.AbsentSinceMs(host);
  facts.live = absent == 0 && !facts.leaving;
  if (absent != 0) facts.absent_ms = poller_.LiveReadMs() - absent;
  const auto* ledger = Ledger(record->pool);
  if (ledger != nullptr && ledger->unavailable.contains(host)) {
    facts.unavailable = ledger->unavailable.at(host);
  }
  const since& held = since_[host];
  const millis now = clock_.Now();
  if (held.epoch == record->epoch) facts.in_state_ms = now - held.state_ms;
  facts.drained = held.epoch == record->epoch && held.quiet_ms != 0 &&
                  now - held.quiet_ms >= options_.timing.drain_settle_ms &&
                  Quiet(*record);
  if (record->reason.starts_with(kWaveReason) && keeper_.Tree()) {
    const auto& waves = keeper_.Tree()->waves;
    auto wave = waves.find(record->reason.substr(kWaveReason.size()));
    if (wave != waves.end()) {
      facts.aborted = wave->second.state == settings::wave_state::kAborted;
      facts.reboots = wave->second.kind == settings::wave_kind::kKernel;
    }
  }
  return facts;
}

bool host_board::Healthy(const host_record& record) const {
  const table_sources& sources = poller_.Sources();
  auto info = sources.hosts.find(record.host);
  if (info == sources.hosts.end() ||
      info->second.state != platform_state::kUp ||
      poller_.AbsentSinceMs(record.host) != 0) {
    return false;
  }
  bool serves = false;
  for (const auto& [name, service] : keeper_.Tree()->services) {
    serves = serves || service.pool == record.pool;
  }
  if (!serves) return true;
  return std::any_of(
      sources.live.runners.begin(), sources.live.runners.end(),
      [&](const live_runner& r) { return r.host == record.host; });
}

std::string host_board::DrainNote(const host_record& record) {
  std::string text;
  for (const std::string& member : Unconfirmed(record)) {
    text += (text.empty() ? "not confirmed by " : ", ") + member;
  }
  if (!text.empty()) return text;
  const std::uint32_t running = Running(record.host);
  if (running > 0) return std::to_string(running) + " still running";
  return "confirmed by all, waiting for the next live lists";
}

std::string host_board::OrderNote(const host_facts& facts,
                                  const order_record& order) {
  const order_step step = NextOrderStep(facts, order.order);
  if (step == order_step::kWait) return "order waits for another change";
  if (step != order_step::kDrain) return "order in progress";
  const auto* ledger = Ledger(facts.record.pool);
  if (ledger == nullptr) return "order waits for the ledger of the pool";
  auto grant = maintenance::GrantDrain(*ledger, facts.record.host,
                                       kOperatorReason, "dry");
  return Ok(grant) ? "order in progress"
                   : "order waits: " + Error(grant).message;
}

std::string host_board::Note(const std::string& host) {
  auto facts = Facts(host);
  if (!facts) return "no record yet";
  std::string text;
  switch (facts->record.state) {
    case host_state::kActive:
      if (!facts->unavailable.empty()) {
        text = "unavailable in the ledger: " + facts->unavailable;
      }
      break;
    case host_state::kDraining:
      text = DrainNote(facts->record);
      break;
    case host_state::kEmpty:
      text = "stopped: " + facts->record.reason;
      break;
    case host_state::kMaintenance:
      text = "waiting for the platform to restart the host";
      break;
    case host_state::kFailed:
      text = facts->live ? "failed, recovering" : "failed";
      break;
  }
  auto order = Order(host);
  if (order && order->waiting) {
    text += (text.empty() ? "" : "; ") + OrderNote(*facts, *order);
  }
  return text;
}

}  // namespace radishwing::control

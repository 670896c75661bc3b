#include "tests/maintenance/fleet_world.h"

namespace radishwing::test {

using namespace maintenance;

fleet_world::fleet_world(choices& choices) : choices_(choices) {
  int number = 0;
  for (const std::string pool : {"alpha", "beta", "spare"}) {
    ledger_record ledger;
    ledger.pool = pool;
    ledger.floor = pool == "alpha" ? 5 : pool == "beta" ? 4 : 0;
    for (int i = 0; i < (pool == "spare" ? 2 : 6); ++i) {
      host_record host;
      host.host = "h" + std::to_string(number++);
      host.rack = pool + std::to_string(i / 2);
      host.pool = pool;
      ledger.hosts[host.host] = host.rack;
      hosts_[host.host] = {host, 1};
    }
    ledgers_[pool] = {ledger, 1};
  }
}

bool fleet_world::Write(const std::string& pool, std::uint64_t version,
                        const result<ledger_record>& next) {
  versioned<ledger_record>& stored = ledgers_[pool];
  if (!Ok(next) || stored.version != version) return false;
  stored = {Value(ParseLedgerRecord(FormatLedgerRecord(Value(next)))),
            version + 1};
  return !choices_.Chance(10);  // The answer is lost.
}

bool fleet_world::Write(const std::string& host, std::uint64_t version,
                        const result<host_record>& next) {
  versioned<host_record>& stored = hosts_[host];
  if (!Ok(next) || stored.version != version) return false;
  stored = {Value(ParseHostRecord(FormatHostRecord(Value(next)))), version + 1};
  return !choices_.Chance(10);
}

void fleet_world::Plan(control& control) {
  control.seen_ledgers = ledgers_;
  control.seen_hosts = hosts_;
  wave_view view;
  view.wave = "kernel";
  for (const auto& [name, ledger] : control.seen_ledgers) {
    wave_pool pool;
    pool.ledger = ledger.record;
    pool.spare = name == "spare";
    for (const auto& [host, record] : control.seen_hosts) {
      if (record.record.pool == name) pool.hosts.push_back({record.record});
    }
    view.pools.push_back(pool);
  }
  control.plan = PlanWave(view);
}

// A control acts on its plan later, when the records may have changed.
void fleet_world::Act(control& control) {
  if (control.plan.actions.empty()) return;
  const wave_action action = control.plan.actions.back();
  control.plan.actions.pop_back();
  const auto& ledger = control.seen_ledgers[action.pool];
  const std::string reason =
      action.step == wave_step::kLend ? "lend" : "wave:kernel";
  if (!Write(action.pool, ledger.version,
             GrantDrain(ledger.record, action.host, reason, "grant"))) {
    return;
  }
  drains_.push_back(
      {control.seen_hosts[action.host], reason, action.next_pool});
}

// An operator asks for a drain that no plan has weighed.
void fleet_world::OperatorDrain(const std::string& name) {
  const versioned<host_record> host = hosts_[name];
  const versioned<ledger_record> ledger = ledgers_[host.record.pool];
  if (Write(host.record.pool, ledger.version,
            GrantDrain(ledger.record, name, "operator", "grant"))) {
    drains_.push_back({host, "operator", ""});
  }
}

void fleet_world::Drain() {
  if (drains_.empty()) return;
  const std::size_t index = choices_.Below(drains_.size());
  const granted_drain drain = drains_[index];
  drains_.erase(drains_.begin() + static_cast<long>(index));
  Write(drain.host.record.host, drain.host.version,
        BeginDrain(drain.host.record, drain.reason, drain.next_pool, "drain"));
}

void fleet_world::Advance(const std::string& name) {
  const versioned<host_record> host = hosts_[name];
  switch (host.record.state) {
    case host_state::kDraining:
      Write(name, host.version, MarkEmpty(host.record, "empty"));
      break;
    case host_state::kEmpty:
      if (host.record.reason != "lend") {
        Write(name, host.version, BeginMaintenance(host.record, "begin"));
        break;
      }
      Write(name, host.version, ReturnHost(host.record, "", "lent"));
      break;
    case host_state::kMaintenance:
    case host_state::kFailed:
      Write(name, host.version,
            ReturnHost(host.record,
                       host.record.state == host_state::kFailed ? "" : "kernel",
                       "back"));
      break;
    case host_state::kActive:
      Reconcile(name);
  }
}

// Brings the ledgers in line with the record of an active host.
void fleet_world::Reconcile(const std::string& name) {
  const host_record& host = hosts_[name].record;
  for (auto& [pool, ledger] : ledgers_) {
    const bool listed = ledger.record.hosts.contains(name);
    const bool stopped = ledger.record.unavailable.contains(name);
    if (pool == host.pool && listed && stopped) {
      releases_.push_back({pool, ledger.version, name});
      return;
    }
    if (pool != host.pool && listed) {
      Write(pool, ledger.version, UnlistHost(ledger.record, name, "unlist"));
      return;
    }
  }
  versioned<ledger_record>& own = ledgers_[host.pool];
  Write(host.pool, own.version, ListHost(own.record, name, host.rack, "list"));
}

// The write to the host record comes first: a control that was granted the stop
// and has not begun it yet then fails.
void fleet_world::Release() {
  if (releases_.empty()) return;
  const pending_release release = releases_.back();
  releases_.pop_back();
  const versioned<host_record> host = hosts_[release.host];
  if (!Write(release.host, host.version, FenceHost(host.record, "fence"))) {
    return;
  }
  Write(release.pool, release.version,
        ReleaseHost(ledgers_[release.pool].record, release.host, "release"));
}

void fleet_world::Fail(const std::string& name) {
  const versioned<host_record> host = hosts_[name];
  const versioned<ledger_record> ledger = ledgers_[host.record.pool];
  Write(host.record.pool, ledger.version,
        EnterFailure(ledger.record, name, "fail"));
  if (ledgers_[host.record.pool].version == ledger.version) return;
  Write(name, host.version, MarkFailed(host.record, "fail"));
}

std::string fleet_world::Step() {
  control& control = controls_[choices_.Below(2)];
  auto host = hosts_.begin();
  std::advance(host, static_cast<long>(choices_.Below(hosts_.size())));
  const std::string name = host->first;
  switch (choices_.Below(16)) {
    case 0:
    case 1:
      Plan(control);
      break;
    case 2:
      if (choices_.Chance(10)) Fail(name);
      if (choices_.Chance(30)) OperatorDrain(name);
      break;
    case 3:
    case 4:
    case 5:
    case 6:
      Act(control);
      break;
    case 7:
      Drain();
      break;
    case 8:
      Release();
      break;
    default:
      Advance(name);
  }
  return Check();
}

std::string fleet_world::Check() const {
  std::map<std::string, int> listed;
  for (const auto& [pool, ledger] : ledgers_) {
    const ledger_record& record = ledger.record;
    std::uint32_t failed = 0;
    std::string racks;
    for (const auto& [host, rack] : record.hosts) {
      if (++listed[host] > 1) return "I2: " + host + " is listed twice";
      const auto stopped = record.unavailable.find(host);
      const bool serves = hosts_.at(host).record.state == host_state::kActive;
      if (stopped == record.unavailable.end()) {
        if (!serves) return "I1: " + host + " counts as available in " + pool;
        continue;
      }
      if (stopped->second == kFailedReason) {
        ++failed;
      } else if (rack != record.rack_in_wave) {
        return "I1: planned stops in two racks of " + pool;
      }
    }
    // Without the failures, planned stops leave at least the floor.
    if (record.Available() + failed < record.floor) {
      return "I1: " + pool + " is below its floor";
    }
  }
  return {};
}

std::uint32_t fleet_world::Maintained() const {
  std::uint32_t count = 0;
  for (const auto& [name, host] : hosts_) {
    count += host.record.maintained_by == "kernel" ? 1 : 0;
  }
  return count;
}

}  // namespace radishwing::test

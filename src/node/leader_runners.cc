#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include "platform/names.h"
#include "platform/runner_codec.h"
#include "src/node/leader_impl.h"
#include "src/node/record_keys.h"

// Runner discovery, leases and listings.

namespace radishwing::node {
namespace json = boost::json;
namespace {

// A runner without an entry in the store is removed after this delay, once no
// task can run there.
constexpr millis kRemovalDelayMs = 3000;

}  // namespace

void leader::impl::OnRunnerSnapshot(
    const std::vector<store::store_item>& items) {
  std::set<std::string> present;
  for (const store::store_item& item : items) {
    present.insert(item.key.substr(platform::kRunnerPrefix.size()));
    OnRunnerItem(item);
  }
  for (const auto& [id, link] : links) {
    if (!present.contains(id)) OnRunnerEntryRemoved(id);
  }
  runners_loaded = true;
  RecordRunnerSet();
  MaybeBecomeReady();
}

void leader::impl::OnRunnerItem(const store::store_item& item) {
  const std::string id = item.key.substr(platform::kRunnerPrefix.size());
  if (item.revision == 0) return OnRunnerEntryRemoved(id);
  const auto report = platform::DecodeRunner(id, item.value);
  if (!report) {
    context.log.Warning("runner",
                        "invalid runner entry, runner=" + id +
                            " revision=" + std::to_string(item.revision));
    return OnRunnerEntryRemoved(id);
  }
  OnRunnerReport(*report);
}

void leader::impl::OnRunnerReport(const fleet::runner_report& report) {
  entry_removed_at.erase(report.id);
  const sched::runner_state* known = scheduler.FindRunner(report.id);
  if (!known || known->report.draining != report.draining ||
      known->report.pool != report.pool) {
    context.log.Info("runner",
                     "runner registered or changed, runner=" + report.id +
                         " pool=" + report.pool +
                         " cpu=" + std::to_string(report.capacity.cpu_millis) +
                         " draining=" + (report.draining ? "1" : "0"));
  }
  scheduler.AddRunner(report);
  const auto it = links.find(report.id);
  if (it == links.end()) {
    AddLink(report, 0);
    RecordRunnerSet();
  } else {
    it->second->Update(report);
  }
  SchedulePlan();
}

void leader::impl::OnRunnerEntryRemoved(const std::string& id) {
  if (!links.contains(id)) return;
  if (entry_removed_at.try_emplace(id, context.now.Now()).second) {
    context.log.Info("runner", "runner entry removed, runner=" + id);
  }
  scheduler.SetCordoned(id, true);
}

void leader::impl::AddLink(const fleet::runner_report& report,
                           millis predecessor_lease_end) {
  runner_set_dirty = true;
  if (!scheduler.FindRunner(report.id)) scheduler.AddRunner(report);
  links[report.id] = std::make_unique<runner_link>(
      context, fencing_token, report, predecessor_lease_end, LinkHooks());
}

runner_link_hooks leader::impl::LinkHooks() {
  runner_link_hooks hooks;
  hooks.listing = [this](const std::string& id,
                         const fleet::runner_listing& listing, millis sent_at) {
    return OnListing(id, listing, sent_at);
  };
  hooks.reachable = [this](const std::string& id, bool reachable) {
    scheduler.SetReachable(id, reachable);
    SchedulePlan();
  };
  hooks.restarted = [this](const std::string& id) {
    context.log.Info("runner", "runner restarted, runner=" + id);
    pending_acks.erase(id);
    scheduler.RunnerRestarted(id, context.now.Now());
    SchedulePlan();
  };
  hooks.lease_expired = [this](const std::string& id) {
    return OnRunnerLeaseExpired(id);
  };
  hooks.fenced = [this] {
    boost::asio::post(context.io, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->EndTerm("fenced by a runner");
    });
  };
  hooks.may_send_orders = [this] { return MaySendOrders(); };
  return hooks;
}

listing_result leader::impl::OnListing(const std::string& id,
                                       const fleet::runner_listing& listing,
                                       millis sent_at) {
  // Before the jobs are loaded, the listed runs cannot be told from runs of
  // unknown jobs.
  if (!ready) return listing_result::kNotReady;
  const auto run_ends =
      scheduler.ApplyListing(id, listing, sent_at, context.now.Now());
  auto& acks = pending_acks[id];
  for (const sched::recorded_end& end : run_ends) {
    acks.push_back({end.number, end.job, end.change});
  }
  AcknowledgeSavedEnds();
  SchedulePlan();
  const auto link = links.find(id);
  if (link != links.end()) link->second->SetBusy(scheduler.TaskCount(id) > 0);
  return acks.empty() ? listing_result::kApplied : listing_result::kAcksPending;
}

bool leader::impl::OnRunnerLeaseExpired(const std::string& id) {
  const auto it = links.find(id);
  if (it == links.end()) return true;
  if (!lease.IsExclusive(context.now.Now())) return false;
  context.log.Warning("runner", "runner lease expired, runner=" + id);
  const fleet::runner_report report = it->second->Report();
  scheduler.RemoveRunner(id, context.now.Now());
  pending_acks.erase(id);
  scheduler.AddRunner(report);
  if (entry_removed_at.contains(id)) scheduler.SetCordoned(id, true);
  SchedulePlan();
  return true;
}

void leader::impl::DropRunner(const std::string& id, std::string_view reason) {
  if (!links.contains(id) && !scheduler.FindRunner(id)) return;
  context.log.Info(
      "runner", "runner removed, runner=" + id + " why=" + std::string(reason));
  links.erase(id);
  pending_acks.erase(id);
  scheduler.RemoveRunner(id, context.now.Now());
  entry_removed_at.erase(id);
  runner_set_dirty = true;
  RecordRunnerSet();
  SchedulePlan();
}

// A host that lists another runner has ended the earlier one for good.
void leader::impl::OnHostsListed(const std::set<std::string>& runners,
                                 millis asked_at) {
  std::vector<std::string> stale;
  for (const auto& [id, since] : entry_removed_at) {
    const auto link = links.find(id);
    const bool down = link == links.end() || !link->second->Reachable();
    if (down && since < asked_at && !runners.contains(id)) stale.push_back(id);
  }
  for (const std::string& id : stale) DropRunner(id, "host has another runner");
}

void leader::impl::RemoveUnregisteredRunners() {
  const millis now = context.now.Now();
  std::vector<std::string> removable;
  for (const auto& [id, since] : entry_removed_at) {
    const auto link = links.find(id);
    const bool settled = link == links.end() || link->second->Reachable() ||
                         link->second->LeaseExpired();
    if (settled && now - since > kRemovalDelayMs &&
        scheduler.TaskCount(id) == 0) {
      removable.push_back(id);
    }
  }
  for (const std::string& id : removable) DropRunner(id, "no store entry");
}

// A runner is recorded in the store before it is sent its first order, so that
// a successor knows every runner that may have tasks.
void leader::impl::RecordRunnerSet() {
  // Until the predecessor's set is loaded, a write would remove its runners.
  if (!runner_set_dirty || !runner_set_loaded || runner_set_in_flight ||
      ended) {
    return;
  }
  json::array rows;
  std::set<std::string> ids;
  for (const auto& [id, link] : links) {
    const fleet::runner_report& report = link->Report();
    rows.push_back(
        json::array{id, report.pool, report.address, report.data_centre});
    ids.insert(id);
  }
  runner_set_dirty = false;
  if (ids == recorded.Certain() && runner_set_confirmed) return;
  recorded.WriteSent(ids);
  runner_set_confirmed = false;
  scheduler.SetRecordedRunners(recorded.Certain());
  store::store_commit commit;
  // Expecting the key's revision keeps an earlier write that got no answer from
  // being applied after this one.
  commit.preconditions = {{ShardKey(), fencing_token},
                          {RunnerSetKey(), runner_set_revision}};
  commit.writes = {{RunnerSetKey(), json::serialize(rows), 0}};
  runner_set_in_flight = true;
  context.store->Commit(
      commit,
      [weak = weak_from_this()](const result<store::commit_outcome>& outcome) {
        const auto self = weak.lock();
        if (self && !self->ended) self->OnRunnerSetWritten(outcome);
      });
}

void leader::impl::OnRunnerSetWritten(
    const result<store::commit_outcome>& outcome) {
  runner_set_in_flight = false;
  if (Ok(outcome) && Value(outcome).committed) {
    recorded.WriteConfirmed();
    runner_set_revision = Value(outcome).revision;
    runner_set_confirmed = true;
    scheduler.SetRecordedRunners(recorded.Certain());
    SchedulePlan();
    return RecordRunnerSet();
  }
  runner_set_dirty = true;  // Tick retries the write.
  if (!Ok(outcome)) {
    context.log.Warning(
        "runner", "runner set write failed, error=" + Error(outcome).message);
    return;
  }
  for (const store::store_item& item : Value(outcome).current) {
    if (item.key == RunnerSetKey()) runner_set_revision = item.revision;
  }
  ResolveConflict(Value(outcome));
}

}  // namespace radishwing::node

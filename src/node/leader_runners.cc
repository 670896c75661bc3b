#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include "platform/runner_codec.h"
#include "platform/store_keys.h"
#include "src/node/leader_impl.h"
#include "src/node/record_keys.h"

// Registration, leases and listings of runners, and the stored runner set.

namespace radishwing::node {
namespace json = boost::json;
namespace {

// A runner without a store entry is dropped after this delay, provided that no
// task can run on it.
constexpr millis kRemovalDelayMs = 3000;
// Number of heartbeats after which a runner whose entry another writer has
// overwritten, and which has not restored it, counts as unregistered.
constexpr int kMissedHeartbeats = 3;
// Time since the last poll from which a runner counts as not polled. A poll
// that gets no response, and the pause after it, are shorter.
constexpr millis kMaxPollAgeMs = 5000;
constexpr millis kUnpolledReportIntervalMs = 1000;

}  // namespace

void leader::impl::ApplyRunnerSnapshot(
    const std::vector<store::store_item>& entries) {
  std::set<std::string> present;
  for (const store::store_item& entry : entries) {
    present.insert(entry.key.substr(platform::kRunnerKeyPrefix.size()));
    ApplyRunnerEntry(entry);
  }
  for (const auto& [id, link] : links) {
    if (!present.contains(id)) NoteUnregisteredRunner(id);
  }
  runners_loaded = true;
  SaveRunnerSet();
  MaybeBecomeReady();
}

void leader::impl::ApplyRunnerEntry(const store::store_item& entry) {
  const std::string id = entry.key.substr(platform::kRunnerKeyPrefix.size());
  if (id.empty()) return;
  if (entry.revision == 0) {
    ignored_entries.erase(id);
    return NoteUnregisteredRunner(id);
  }
  const auto report = platform::DecodeRunnerRecord(id, entry.value);
  if (!report || !IsPlausible(*report)) {
    return IgnoreRunnerEntry(id, entry.revision);
  }
  ignored_entries.erase(id);
  UpdateRunner(*report);
}

bool leader::impl::IsPlausible(const fleet::runner_report& report) const {
  const auto it = links.find(report.id);
  const bool known_pool =
      !context.config || context.config->FindPool(report.pool);
  if (report.data_centre.empty()) return false;
  if (it == links.end()) return known_pool;
  const fleet::runner_report& known = it->second->Report();
  // A runner omits no field that it has written before.
  if ((report.started_unix_ms == 0 && known.started_unix_ms > 0) ||
      (report.labels.empty() && !known.labels.empty()) ||
      (report.capacity == fleet::resources{} &&
       known.capacity != fleet::resources{})) {
    return false;
  }
  // Only a runner that starts again changes its pool, address or data centre.
  if (report.started_unix_ms > known.started_unix_ms) {
    return known_pool || report.pool == known.pool;
  }
  if (report.started_unix_ms < known.started_unix_ms) return false;
  const bool unchanged = report.pool == known.pool &&
                         report.address == known.address &&
                         report.data_centre == known.data_centre;
  return unchanged || (known_pool && !it->second->Reachable());
}

void leader::impl::IgnoreRunnerEntry(const std::string& id,
                                     std::uint64_t revision) {
  context.metrics.CountIgnoredRunnerEntry();
  const bool first = ignored_entries.try_emplace(id, context.now.Now()).second;
  if (!first) return;
  context.log.Warning("runner", "invalid runner entry, runner=" + id +
                                    " revision=" + std::to_string(revision));
}

void leader::impl::NoteUnconfirmedRunners() {
  const millis limit = kMissedHeartbeats * context.settings.heartbeat_ms;
  for (const auto& [id, since] : ignored_entries) {
    if (context.now.Now() - since >= limit) NoteUnregisteredRunner(id);
  }
}

leader::impl::unpolled_runners leader::impl::FindUnpolledRunners() const {
  unpolled_runners found;
  for (const auto& [id, link] : links) {
    const millis age = link->TimeSincePoll();
    if (age >= kMaxPollAgeMs) ++found.count;
    if (age <= found.oldest_age) continue;
    found.oldest = id;
    found.oldest_age = age;
  }
  return found;
}

void leader::impl::ReportUnpolledRunners() {
  const millis now = context.now.Now();
  if (now - unpolled_reported_at < kUnpolledReportIntervalMs) return;
  unpolled_reported_at = now;
  const unpolled_runners unpolled = FindUnpolledRunners();
  if (unpolled.count == 0) return;
  context.log.Warning(
      "runner",
      "runners not polled, runners=" + std::to_string(unpolled.count) +
          " oldest=" + unpolled.oldest +
          " polled_ms_ago=" + std::to_string(unpolled.oldest_age));
}

void leader::impl::UpdateRunner(const fleet::runner_report& report) {
  unregistered_since.erase(report.id);
  const sched::runner_state* known = scheduler.FindRunner(report.id);
  if (!known || known->report.draining != report.draining ||
      known->report.pool != report.pool) {
    context.log.Info(
        "runner", "runner registered or changed, runner=" + report.id +
                      " pool=" + report.pool +
                      " cpu=" + std::to_string(report.capacity.cpu_millicores) +
                      " draining=" + (report.draining ? "1" : "0"));
  }
  scheduler.AddRunner(report);
  const auto it = links.find(report.id);
  if (it == links.end()) {
    AddLink(report, 0);
    SaveRunnerSet();
  } else {
    const fleet::runner_report& before = it->second->Report();
    // The next periodic check stores the set: building it for each of thousands
    // of entries would block the leader.
    runner_set_dirty |= before.pool != report.pool ||
                        before.address != report.address ||
                        before.data_centre != report.data_centre;
    it->second->UpdateReport(report);
  }
  SchedulePass();
}

void leader::impl::NoteUnregisteredRunner(const std::string& id) {
  if (!links.contains(id)) return;
  if (unregistered_since.try_emplace(id, context.now.Now()).second) {
    context.log.Info("runner", "runner entry removed, runner=" + id);
  }
}

void leader::impl::AddLink(const fleet::runner_report& report,
                           millis predecessor_lease_end) {
  runner_set_dirty = true;
  if (!scheduler.FindRunner(report.id)) scheduler.AddRunner(report);
  links[report.id] = std::make_unique<runner_link>(
      context, fencing_token, report, predecessor_lease_end, MakeLinkHooks());
}

runner_link_hooks leader::impl::MakeLinkHooks() {
  runner_link_hooks hooks;
  hooks.apply_listing = [this](const std::string& id,
                               const fleet::runner_listing& listing,
                               millis sent_at) {
    return ApplyRunnerListing(id, listing, sent_at);
  };
  hooks.reachability_changed = [this](const std::string& id, bool reachable) {
    scheduler.SetReachable(id, reachable);
    SchedulePass();
  };
  hooks.restarted = [this](const std::string& id, millis sent_at) {
    context.log.Info("runner", "runner restarted, runner=" + id);
    pending_acks.erase(id);
    scheduler.ResetRestartedRunner(id, sent_at, context.now.Now());
    SchedulePass();
  };
  hooks.discard_runs = [this](const std::string& id) {
    return DiscardRuns(id);
  };
  hooks.fenced = [this] {
    boost::asio::post(context.io, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->EndTerm("fenced by a runner");
    });
  };
  hooks.may_send_orders = [this] { return MaySendOrders(); };
  hooks.poll_spacing = [this] { return context.MeasuredLink().PollSpacing(); };
  return hooks;
}

listing_result leader::impl::ApplyRunnerListing(
    const std::string& id, const fleet::runner_listing& listing,
    millis sent_at) {
  // Before all jobs are loaded, runs of known and unknown jobs cannot be told
  // apart.
  if (!ready) return listing_result::kNotReady;
  const auto run_ends =
      scheduler.ApplyListing(id, listing, sent_at, context.now.Now());
  auto& acks = pending_acks[id];
  for (const sched::recorded_end& end : run_ends) {
    acks.push_back({end.end_number, end.job, end.progress_version});
  }
  AcknowledgeSavedRunEnds(id, acks);
  SchedulePass();
  const auto link = links.find(id);
  if (link != links.end()) link->second->SetBusy(scheduler.TaskCount(id) > 0);
  return acks.empty() ? listing_result::kAllAcknowledged
                      : listing_result::kAcksPending;
}

bool leader::impl::DiscardRuns(const std::string& id) {
  const auto it = links.find(id);
  if (it == links.end()) return true;
  if (!lease.IsExclusive(context.now.Now())) return false;
  context.log.Warning("runner", "runner lease expired, runner=" + id);
  const fleet::runner_report report = it->second->Report();
  scheduler.RemoveRunner(id, context.now.Now());
  pending_acks.erase(id);
  scheduler.AddRunner(report);
  SchedulePass();
  return true;
}

void leader::impl::DropRunner(const std::string& id, std::string_view reason) {
  if (!links.contains(id) && !scheduler.FindRunner(id)) return;
  context.log.Info(
      "runner", "runner removed, runner=" + id + " why=" + std::string(reason));
  links.erase(id);
  pending_acks.erase(id);
  scheduler.RemoveRunner(id, context.now.Now());
  unregistered_since.erase(id);
  ignored_entries.erase(id);
  runner_set_dirty = true;
  SaveRunnerSet();
  SchedulePass();
}

// Once the list of the hosts shows another runner on a host, the earlier runner
// of that host has ended for good.
void leader::impl::DropReplacedRunners(const std::set<std::string>& listed,
                                       millis asked_at) {
  std::vector<std::string> replaced;
  for (const auto& [id, since] : unregistered_since) {
    const auto link = links.find(id);
    const bool unreachable = link == links.end() || !link->second->Reachable();
    if (unreachable && since < asked_at && !listed.contains(id))
      replaced.push_back(id);
  }
  for (const std::string& id : replaced)
    DropRunner(id, "host has another runner");
}

void leader::impl::DropUnregisteredRunners() {
  // Until all runners and jobs are loaded, it is not known which runners have
  // an entry, and listings are discarded.
  if (!ready) return;
  const millis now = context.now.Now();
  std::vector<std::string> removable;
  for (const auto& [id, since] : unregistered_since) {
    const auto link = links.find(id);
    const sched::runner_state* runner = scheduler.FindRunner(id);
    const bool task_count_known =
        link == links.end() || link->second->LeaseExpired() ||
        (link->second->Reachable() && runner && runner->listed);
    if (task_count_known && now - since > kRemovalDelayMs &&
        scheduler.TaskCount(id) == 0) {
      removable.push_back(id);
    }
  }
  for (const std::string& id : removable) DropRunner(id, "no store entry");
}

// A runner is stored in the runner set before it gets its first order. The next
// leader thus knows every runner that may have tasks.
void leader::impl::SaveRunnerSet() {
  // Before the predecessor's runner set is loaded, a write would overwrite that
  // set and remove its runners.
  if (!runner_set_dirty || !runner_set_loaded || runner_set_save_in_flight ||
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
  std::string text = json::serialize(rows);
  runner_set_dirty = false;
  if (text == runner_set_text && runner_set_confirmed) return;
  runner_set_text = text;
  runner_set_record.NoteWriteSent(ids);
  runner_set_confirmed = false;
  scheduler.SetRecordedRunners(runner_set_record.CertainRunners());
  store::store_commit commit;
  // An earlier write that got no response may still be in transit. The
  // precondition on the key of the runner set prevents the store from applying
  // that write after this one.
  commit.preconditions = {{ShardKey(), fencing_token},
                          {RunnerSetKey(), runner_set_revision}};
  commit.writes = {{RunnerSetKey(), std::move(text), 0}};
  runner_set_save_in_flight = true;
  context.store->Commit(
      commit,
      [weak = weak_from_this()](const result<store::commit_outcome>& outcome) {
        const auto self = weak.lock();
        if (self && !self->ended) self->OnRunnerSetSaveDone(outcome);
      });
}

void leader::impl::OnRunnerSetSaveDone(
    const result<store::commit_outcome>& outcome) {
  runner_set_save_in_flight = false;
  if (Ok(outcome) && Value(outcome).committed) {
    runner_set_record.NoteWriteConfirmed();
    runner_set_revision = Value(outcome).revision;
    runner_set_confirmed = true;
    scheduler.SetRecordedRunners(runner_set_record.CertainRunners());
    SchedulePass();
    return SaveRunnerSet();
  }
  runner_set_dirty = true;  // The next periodic check repeats the write.
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

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include "platform/names.h"
#include "platform/runner_codec.h"
#include "src/node/leader_impl.h"
#include "src/node/record_keys.h"

// The runners: who they are, what they list.

namespace radishwing::node {
namespace json = boost::json;
namespace {

// A link whose runner has no entry in the store is closed after this, once
// nothing can run there.
constexpr millis kForgetMs = 3000;

}  // namespace

void leader::impl::OnRunnerSnapshot(
    const std::vector<store::store_item>& items) {
  std::set<std::string> present;
  for (const store::store_item& item : items) {
    present.insert(item.key.substr(platform::kRunnerPrefix.size()));
    OnRunnerItem(item);
  }
  for (const auto& [id, link] : links) {
    if (!present.contains(id)) OnRunnerEntryGone(id);
  }
  runners_loaded = true;
  RecordRunnerSet();
  MaybeReady();
}

void leader::impl::OnRunnerItem(const store::store_item& item) {
  const std::string id = item.key.substr(platform::kRunnerPrefix.size());
  if (item.revision == 0) return OnRunnerEntryGone(id);
  const auto report = platform::DecodeRunner(id, item.value);
  if (!report) {
    context.log.Warning("runner",
                        "entry unusable, runner=" + id +
                            " revision=" + std::to_string(item.revision));
    return OnRunnerEntryGone(id);
  }
  OnRunnerReport(*report);
}

void leader::impl::OnRunnerReport(const fleet::runner_report& report) {
  entry_gone_since.erase(report.id);
  const sched::runner_state* known = scheduler.FindRunner(report.id);
  if (!known || known->report.draining != report.draining ||
      known->report.pool != report.pool) {
    context.log.Info(
        "runner", "runner seen, runner=" + report.id + " pool=" + report.pool +
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
  Kick();
}

void leader::impl::OnRunnerEntryGone(const std::string& id) {
  if (!links.contains(id)) return;
  if (entry_gone_since.try_emplace(id, context.now.Now()).second) {
    context.log.Info("runner", "entry gone, runner=" + id);
  }
  scheduler.SetCordoned(id, true);
}

void leader::impl::AddLink(const fleet::runner_report& report, millis until) {
  runner_set_stale = true;
  if (!scheduler.FindRunner(report.id)) scheduler.AddRunner(report);
  links[report.id] =
      std::make_unique<runner_link>(context, fence, report, until, LinkHooks());
}

runner_link_hooks leader::impl::LinkHooks() {
  runner_link_hooks hooks;
  hooks.listing = [this](const std::string& id,
                         const fleet::runner_listing& listing, millis sent_at) {
    return OnListing(id, listing, sent_at);
  };
  hooks.reachable = [this](const std::string& id, bool reachable) {
    scheduler.SetReachable(id, reachable);
    Kick();
  };
  hooks.reborn = [this](const std::string& id) {
    context.log.Info("runner", "runner restarted, runner=" + id);
    unkept.erase(id);
    scheduler.RunnerReborn(id, context.now.Now());
    Kick();
  };
  hooks.lease_over = [this](const std::string& id) { return OnLeaseOver(id); };
  hooks.fenced = [this] {
    boost::asio::post(context.io, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Lose("fenced by a runner");
    });
  };
  hooks.may_order = [this] { return MayOrder(); };
  return hooks;
}

listing_use leader::impl::OnListing(const std::string& id,
                                    const fleet::runner_listing& listing,
                                    millis sent_at) {
  // Without the jobs, what is listed could not be told from strange tasks.
  if (!ready) return listing_use::kNotReady;
  const auto recorded =
      scheduler.ApplyListing(id, listing, sent_at, context.now.Now());
  auto& waiting = unkept[id];
  for (const sched::recorded_end& end : recorded) {
    waiting.push_back({end.number, end.job, end.change});
  }
  AcknowledgeEnds();
  Kick();
  const auto link = links.find(id);
  if (link != links.end()) link->second->SetBusy(scheduler.TaskCount(id) > 0);
  return waiting.empty() ? listing_use::kTaken : listing_use::kEndsPending;
}

bool leader::impl::OnLeaseOver(const std::string& id) {
  const auto it = links.find(id);
  if (it == links.end()) return true;
  if (!lease.Sole(context.now.Now())) return false;
  context.log.Warning("runner", "lease over, runner=" + id);
  const fleet::runner_report report = it->second->Report();
  scheduler.RemoveRunner(id, context.now.Now());
  unkept.erase(id);
  scheduler.AddRunner(report);
  if (entry_gone_since.contains(id)) scheduler.SetCordoned(id, true);
  Kick();
  return true;
}

void leader::impl::DropRunner(const std::string& id, std::string_view why) {
  if (!links.contains(id) && !scheduler.FindRunner(id)) return;
  context.log.Info("runner",
                   "runner dropped, runner=" + id + " why=" + std::string(why));
  links.erase(id);
  unkept.erase(id);
  scheduler.RemoveRunner(id, context.now.Now());
  entry_gone_since.erase(id);
  runner_set_stale = true;
  RecordRunnerSet();
  Kick();
}

// A host that has another runner now has ended the earlier one for good.
void leader::impl::OnHostsListed(const std::set<std::string>& runners,
                                 millis asked_at) {
  std::vector<std::string> gone;
  for (const auto& [id, since] : entry_gone_since) {
    const auto link = links.find(id);
    const bool silent = link == links.end() || !link->second->Reachable();
    if (silent && since < asked_at && !runners.contains(id)) gone.push_back(id);
  }
  for (const std::string& id : gone) DropRunner(id, "host has another runner");
}

void leader::impl::DropGoneLinks() {
  const millis now = context.now.Now();
  std::vector<std::string> gone;
  for (const auto& [id, since] : entry_gone_since) {
    const auto link = links.find(id);
    const bool known = link == links.end() || link->second->Reachable() ||
                       link->second->LeaseOver();
    if (known && now - since > kForgetMs && scheduler.TaskCount(id) == 0) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) DropRunner(id, "no entry");
}

// Runners that may hold orders are recorded before they get the first one, so
// that a successor knows whom to ask.
void leader::impl::RecordRunnerSet() {
  // Before the predecessor's set is known, ours would drop its runners.
  if (!runner_set_stale || !runner_set_loaded || runner_set_in_flight ||
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
  runner_set_stale = false;
  if (ids == recorded.Certain() && runner_set_certain) return;
  recorded.WriteSent(ids);
  runner_set_certain = false;
  scheduler.SetRecorded(recorded.Certain());
  store::store_commit commit;
  // With the key's own revision, an earlier write without an answer cannot
  // come after this one.
  commit.expected = {{ShardKey(), fence},
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
    recorded.WriteKept();
    runner_set_revision = Value(outcome).revision;
    runner_set_certain = true;
    scheduler.SetRecorded(recorded.Certain());
    Kick();
    return RecordRunnerSet();
  }
  runner_set_stale = true;  // Tick writes again.
  if (!Ok(outcome)) {
    context.log.Warning("runner",
                        "runner set not kept, error=" + Error(outcome).message);
    return;
  }
  for (const store::store_item& item : Value(outcome).current) {
    if (item.key == RunnerSetKey()) runner_set_revision = item.revision;
  }
  CheckConflict(Value(outcome));
}

}  // namespace radishwing::node

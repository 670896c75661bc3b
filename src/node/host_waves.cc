#include <algorithm>
#include <utility>

#include "platform/config_codec.h"
#include "platform/store_keys.h"
#include "src/node/host_controller_impl.h"
#include "src/node/record_keys.h"
#include "src/sched/wave_planner.h"

// The part of host_controller that carries out maintenance waves.

namespace radishwing::node {
namespace {

// Time after which batch tasks that still run on a draining host are stopped.
constexpr millis kMaxBatchDrainMs = 3500;

}  // namespace

void host_controller::impl::LoadWaveProgress(std::int64_t number) {
  context.store->Get(WaveKey(number), [weak = weak_from_this(),
                                       number](result<store::store_item> item) {
    const auto self = weak.lock();
    if (!self) return;
    if (!Ok(item)) return;  // Tick() retries the read later.
    wave_state& wave = self->waves[number];
    wave.progress = DecodeWaveRecord(Value(item).value);
    wave.progress_loaded = true;
  });
}

sched::host_presence host_controller::impl::Presence(
    const wave_state& wave, const std::string& name) const {
  return sched::PresenceOf(
      {.in_newest_list = FindHost(name) != nullptr,
       .in_any_list = wave.progress.listed_hosts.contains(name)},
      listed_hosts_as_of, wave.known_since, wave.request.time_limit_ms);
}

void host_controller::impl::NoteListedHosts(wave_state& wave) {
  using sched::host_presence;
  const std::string number = std::to_string(wave.request.number);
  const bool time_left =
      listed_hosts_as_of - wave.known_since <= wave.request.time_limit_ms;
  for (const std::string& name : wave.request.hosts) {
    if (wave.progress.started_hosts.contains(name)) continue;
    const host_presence presence = Presence(wave, name);
    if (presence == host_presence::kListed) {
      wave.progress.listed_hosts.insert(name);
      if (wave.absent_hosts.erase(name) > 0 && wave.reported_finished &&
          time_left) {
        context.log.Info("hosts", "host has returned, wave goes on, host=" +
                                      name + " wave=" + number);
        wave.reported_running = false;
        wave.reported_finished = false;
      }
    } else if (presence != host_presence::kAwaited &&
               wave.absent_hosts.insert(name).second) {
      const bool gone = presence == host_presence::kGone;
      context.log.Warning(
          "hosts", "host has no maintenance, host=" + name + " wave=" + number +
                       " why=" + (gone ? "gone" : "never_listed"));
    }
  }
}

bool host_controller::impl::IsInMaintenance(const std::string& host) const {
  return std::ranges::any_of(waves, [&](const auto& entry) {
    return entry.second.draining_since.contains(host) ||
           entry.second.down_since.contains(host);
  });
}

void host_controller::impl::ContinueWave(wave_state& wave) {
  if (!wave.reported_running) return ReportWaveState(wave, false);
  for (auto it = open_orders.begin(); it != open_orders.end();) {
    const auto& [host, open] = *it++;
    if (open.order.wave != wave.request.number) continue;
    if (wave.progress.started_hosts.contains(host)) {
      // The record of the orders is older than the list of started hosts.
      DropOrder(std::string(host));
    } else {
      wave.draining_since.try_emplace(host, context.now.Now());
    }
  }
  std::erase_if(wave.down_since, [&](const auto& entry) {
    const fleet::host_info* host = FindHost(entry.first);
    // A list that was requested before the order was accepted says nothing
    // about the time since.
    if (!host) return listed_hosts_as_of > entry.second;
    return host->state == fleet::host_state::kUp &&
           listed_hosts_as_of > entry.second + context.settings.maintenance_ms;
  });
  // A host that comes back later must not be held for a wave that is over.
  std::erase_if(wave.draining_since, [&](const auto& entry) {
    if (FindHost(entry.first)) return false;
    DropOrder(entry.first);
    return true;
  });
  std::vector<std::string> remaining;
  int not_listed = 0;
  bool all_started = true;
  for (const std::string& name : wave.request.hosts) {
    if (wave.progress.started_hosts.contains(name) ||
        wave.absent_hosts.contains(name)) {
      continue;
    }
    all_started = false;
    if (!FindHost(name)) {
      ++not_listed;
    } else if (!wave.draining_since.contains(name)) {
      remaining.push_back(name);
    }
  }
  ReportWaveHosts(wave, static_cast<int>(remaining.size()), not_listed);
  if (all_started) {
    scheduler.SetMaintenanceDue({});
    return ReportWaveState(wave, true);
  }
  // Before `waves_allowed_at`, it is not known which hosts the predecessor took
  // down. Taking down a further host could exceed the wave's limit of hosts
  // that are down.
  if (context.now.Now() < waves_allowed_at) return;
  StartDraining(wave, remaining);
  const auto draining = wave.draining_since;
  for (const auto& [name, since] : draining) {
    DrainHost(wave, *FindHost(name));
  }
}

void host_controller::impl::ReportWaveHosts(const wave_state& wave, int waiting,
                                            int not_listed) {
  const std::string number = std::to_string(wave.request.number);
  context.metrics.SetWaveHosts(number, "waiting", waiting);
  context.metrics.SetWaveHosts(number, "not_listed", not_listed);
  context.metrics.SetWaveHosts(
      number, "in_progress",
      static_cast<int>(wave.draining_since.size() + wave.down_since.size()));
  context.metrics.SetWaveHosts(
      number, "done", static_cast<int>(wave.progress.started_hosts.size()));
}

void host_controller::impl::StartDraining(
    wave_state& wave, const std::vector<std::string>& remaining) {
  std::vector<sched::due_host> due_hosts;
  std::set<std::string> due_runners;
  for (const std::string& name : remaining) {
    const fleet::host_info& host = *FindHost(name);
    due_runners.insert(host.runner);
    if (host.state != fleet::host_state::kUp || pending_moves.contains(name))
      continue;
    due_hosts.push_back({name, host.pool, scheduler.TaskCount(host.runner),
                         scheduler.LongRunningTaskCount(host.runner)});
  }
  std::vector<sched::draining_host> draining;
  for (const auto& [name, since] : wave.draining_since) {
    const fleet::host_info* host = FindHost(name);
    if (!host) continue;
    due_runners.insert(host->runner);
    draining.push_back(
        {host->pool, scheduler.LongRunningTaskCount(host->runner) > 0});
  }
  scheduler.SetMaintenanceDue(std::move(due_runners));
  const int free_slots =
      wave.request.max_down - static_cast<int>(wave.down_since.size());
  for (const std::string& name :
       sched::ChooseHostsToDrain(due_hosts, draining, free_slots)) {
    wave.draining_since[name] = context.now.Now();
    context.log.Info("hosts", "host draining, host=" + name + " wave=" +
                                  std::to_string(wave.request.number));
  }
}

void host_controller::impl::DrainHost(wave_state& wave,
                                      const fleet::host_info& host) {
  const millis now = context.now.Now();
  if (open_orders.contains(host.name) || wave.next_order_at[host.name] > now) {
    return;
  }
  if (!host.runner.empty() && scheduler.FindRunner(host.runner)) {
    const bool may_wait_for_batch =
        now - wave.draining_since[host.name] < kMaxBatchDrainMs;
    if (!scheduler.Evacuate(host.runner, !may_wait_for_batch, now)) return;
  }
  if (CountHostsDown(wave) < wave.request.max_down) {
    QueueOrder(host.name, {host.runner, "", wave.request.number});
  }
}

int host_controller::impl::CountHostsDown(const wave_state& wave) const {
  return static_cast<int>(
      std::ranges::count_if(wave.request.hosts, [&](const std::string& name) {
        if (wave.down_since.contains(name)) return true;
        const auto open = open_orders.find(name);
        if (open != open_orders.end() &&
            open->second.order.wave == wave.request.number) {
          return true;
        }
        const fleet::host_info* host = FindHost(name);
        return host && host->state == fleet::host_state::kMaintenance;
      }));
}

void host_controller::impl::ApplyMaintenanceOutcome(
    const std::string& host, const open_order& sent,
    fleet::order_outcome outcome) {
  using fleet::order_outcome;
  const std::int64_t number = sent.order.wave;
  context.metrics.CountOrder("maintenance", fleet::OrderOutcomeName(outcome));
  context.log.Info("hosts", "maintenance ordered, host=" + host +
                                " wave=" + std::to_string(number) +
                                " outcome=" + fleet::OrderOutcomeName(outcome));
  if (outcome == order_outcome::kAccepted) {
    NoteEndingRunners(host, sent.order.runner);
  }
  // An earlier leader may have sent the order for a wave that was withdrawn.
  if (!waves.contains(number)) return;
  wave_state& wave = waves[number];
  switch (outcome) {
    case order_outcome::kAccepted:
      wave.progress.started_hosts.insert(host);
      wave.down_since[host] = context.now.Now();
      wave.draining_since.erase(host);
      StoreWaveProgress(wave);
      return;
    case order_outcome::kNotInWave:
    case order_outcome::kInvalid:
      wave.progress.started_hosts.insert(host);
      wave.draining_since.erase(host);
      return;
    case order_outcome::kBusy:
      // The host is being moved or removed. Other hosts can be drained in the
      // meantime.
      if (open_orders.contains(host)) return;
      wave.draining_since.erase(host);
      wave.next_order_at[host] = context.now.Now() + kHostOrderRetryMs;
      return;
    default:
      wave.next_order_at[host] = context.now.Now() + kHostOrderRetryMs;
      return;
  }
}

void host_controller::impl::StoreWaveProgress(const wave_state& wave) {
  store::store_commit commit;
  commit.preconditions = {{ShardKey(), fencing_token}};
  commit.writes = {
      {WaveKey(wave.request.number), EncodeWaveRecord(wave.progress), 0}};
  context.store->Commit(
      commit,
      [weak = weak_from_this()](const result<store::commit_outcome>& outcome) {
        const auto self = weak.lock();
        if (self && !Ok(outcome)) {
          // Without the stored progress, the next leader repeats orders that
          // were carried out, which is harmless.
          self->context.log.Warning(
              "hosts",
              "wave progress not stored, error=" + Error(outcome).message);
        }
      });
}

void host_controller::impl::ReportWaveState(wave_state& wave, bool finished) {
  if (wave.report_in_flight) return;
  wave.report_in_flight = true;
  store::store_commit commit;
  commit.preconditions = {{ShardKey(), fencing_token}};
  commit.writes = {
      {platform::WaveStateKey(wave.request.number),
       platform::EncodeWaveState(wave.request.number, finished), 0},
      {WaveKey(wave.request.number), EncodeWaveRecord(wave.progress), 0}};
  context.store->Commit(
      commit, [weak = weak_from_this(), number = wave.request.number,
               finished](const result<store::commit_outcome>& outcome) {
        const auto self = weak.lock();
        if (!self) return;
        wave_state& wave = self->waves[number];
        wave.report_in_flight = false;
        if (!Ok(outcome) || !Value(outcome).committed) return;
        (finished ? wave.reported_finished : wave.reported_running) = true;
        self->context.log.Info(
            "hosts", "wave state reported, wave=" + std::to_string(number) +
                         " state=" + (finished ? "succeeded" : "running"));
      });
}

}  // namespace radishwing::node

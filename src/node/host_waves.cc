#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "platform/config_codec.h"
#include "platform/names.h"
#include "src/node/host_keeper_impl.h"
#include "src/node/record_keys.h"
#include "src/sched/wave_planner.h"

// Maintenance waves.

namespace radishwing::node {
namespace json = boost::json;
namespace {

// Batch tasks get this long to end by themselves before they are stopped.
constexpr millis kPatienceMs = 3500;

}  // namespace

void host_keeper::impl::LoadWave(std::int64_t number) {
  context.store->Get(WaveKey(number), [weak = weak_from_this(),
                                       number](result<store::store_item> item) {
    const auto self = weak.lock();
    if (!self) return;
    if (!Ok(item)) return;  // Tick asks again.
    wave_state& wave = self->waves[number];
    boost::system::error_code error;
    const json::value wire = json::parse(
        Value(item).value.empty() ? "[]" : Value(item).value, error);
    if (!error && wire.is_array()) {
      for (const json::value& host : wire.get_array()) {
        if (host.is_string()) {
          wave.begun.insert(host.get_string().c_str());
        }
      }
    }
    wave.loaded = true;
  });
}

bool host_keeper::impl::InWave(const std::string& host) const {
  return std::ranges::any_of(waves, [&](const auto& entry) {
    return entry.second.draining_since.contains(host) ||
           entry.second.down_since.contains(host);
  });
}

void host_keeper::impl::StepWave(wave_state& wave) {
  if (!wave.told_running) return Tell(wave, false);
  std::erase_if(wave.down_since, [&](const auto& entry) {
    const fleet::host_info* host = FindHost(entry.first);
    const bool back =
        host && host->state == fleet::host_state::kUp &&
        listed_at > entry.second + context.settings.maintenance_ms;
    return !host || back;
  });
  std::vector<std::string> left;
  bool all_begun = true;
  for (const std::string& name : wave.request.hosts) {
    if (wave.begun.contains(name) || !FindHost(name)) continue;
    all_begun = false;
    if (!wave.draining_since.contains(name)) left.push_back(name);
  }
  const std::string number = std::to_string(wave.request.number);
  context.metrics.SetWaveHosts(number, "waiting",
                               static_cast<int>(left.size()));
  context.metrics.SetWaveHosts(
      number, "in_progress",
      static_cast<int>(wave.draining_since.size() + wave.down_since.size()));
  context.metrics.SetWaveHosts(number, "done",
                               static_cast<int>(wave.begun.size()));
  if (all_begun) {
    scheduler.SetDue({});
    return Tell(wave, true);
  }
  // Which hosts are down by the predecessor's orders is not known before.
  if (context.now.Now() < waves_free_at) return;
  ChooseDrains(wave, left);
  const auto draining = wave.draining_since;
  for (const auto& [name, since] : draining) {
    const fleet::host_info* host = FindHost(name);
    if (!host) {
      wave.draining_since.erase(name);
    } else {
      StepHost(wave, *host);
    }
  }
}

void host_keeper::impl::ChooseDrains(wave_state& wave,
                                     const std::vector<std::string>& left) {
  std::vector<sched::due_host> due;
  std::set<std::string> due_runners;
  for (const std::string& name : left) {
    const fleet::host_info& host = *FindHost(name);
    due_runners.insert(host.runner);
    if (host.state != fleet::host_state::kUp || moves.contains(name)) continue;
    due.push_back({name, host.pool, scheduler.TaskCount(host.runner),
                   scheduler.LastingTaskCount(host.runner)});
  }
  std::vector<sched::draining_host> draining;
  for (const auto& [name, since] : wave.draining_since) {
    const fleet::host_info* host = FindHost(name);
    if (!host) continue;
    due_runners.insert(host->runner);
    draining.push_back(
        {host->pool, scheduler.LastingTaskCount(host->runner) > 0});
  }
  scheduler.SetDue(std::move(due_runners));
  const int slots =
      wave.request.max_down - static_cast<int>(wave.down_since.size());
  for (const std::string& name : sched::ChooseDrains(due, draining, slots)) {
    wave.draining_since[name] = context.now.Now();
    context.log.Info("hosts", "host drains, host=" + name + " wave=" +
                                  std::to_string(wave.request.number));
  }
}

void host_keeper::impl::StepHost(wave_state& wave,
                                 const fleet::host_info& host) {
  const millis now = context.now.Now();
  if (wave.in_flight.contains(host.name) || wave.retry_at[host.name] > now) {
    return;
  }
  if (!host.runner.empty() && scheduler.FindRunner(host.runner)) {
    scheduler.SetCordoned(host.runner, true);
    const bool patient = now - wave.draining_since[host.name] < kPatienceMs;
    if (!scheduler.Evacuate(host.runner, !patient, now)) return;
  }
  const auto down = wave.down_since.size() + wave.in_flight.size();
  if (static_cast<int>(down) < wave.request.max_down) Begin(wave, host);
}

void host_keeper::impl::Begin(wave_state& wave, const fleet::host_info& host) {
  wave.in_flight.insert(host.name);
  ordered_at = context.now.Now();
  client->BeginMaintenance(
      host.name, wave.request.number, fence,
      [weak = weak_from_this(), number = wave.request.number,
       name = host.name](fleet::order_outcome outcome) {
        if (const auto self = weak.lock()) {
          self->OnBegun(number, name, outcome);
        }
      });
}

void host_keeper::impl::OnBegun(std::int64_t number, const std::string& host,
                                fleet::order_outcome outcome) {
  using fleet::order_outcome;
  wave_state& wave = waves[number];
  wave.in_flight.erase(host);
  context.metrics.CountOrder("maintenance", fleet::OrderOutcomeName(outcome));
  context.log.Info("hosts", "maintenance ordered, host=" + host +
                                " wave=" + std::to_string(number) +
                                " outcome=" + fleet::OrderOutcomeName(outcome));
  switch (outcome) {
    case order_outcome::kAccepted:
      wave.begun.insert(host);
      wave.down_since[host] = context.now.Now();
      if (const fleet::host_info* info = FindHost(host)) {
        ending[info->runner] = {host, context.now.Now()};
      }
      wave.draining_since.erase(host);
      KeepWave(wave);
      return;
    case order_outcome::kFenced:
      // Another node controls the hosts; this term gives no more orders.
      fenced = true;
      return;
    case order_outcome::kOtherWave:
    case order_outcome::kInvalid:
      wave.begun.insert(host);
      ReleaseHost(wave, host);
      return;
    case order_outcome::kBusy:
      // It moves or leaves; others go first.
      ReleaseHost(wave, host);
      wave.retry_at[host] = context.now.Now() + kHostOrderRetryMs;
      return;
    default:
      wave.retry_at[host] = context.now.Now() + kHostOrderRetryMs;
      return;
  }
}

void host_keeper::impl::ReleaseHost(wave_state& wave, const std::string& name) {
  wave.draining_since.erase(name);
  const fleet::host_info* host = FindHost(name);
  if (host) scheduler.SetCordoned(host->runner, false);
}

void host_keeper::impl::KeepWave(wave_state& wave) {
  json::array begun;
  for (const std::string& host : wave.begun) begun.emplace_back(host);
  store::store_commit commit;
  commit.expected = {{ShardKey(), fence}};
  commit.writes = {{WaveKey(wave.request.number), json::serialize(begun), 0}};
  context.store->Commit(
      commit,
      [weak = weak_from_this()](const result<store::commit_outcome>& outcome) {
        const auto self = weak.lock();
        if (self && !Ok(outcome)) {
          // A successor orders again what is done; that is harmless.
          self->context.log.Warning(
              "hosts", "wave not kept, error=" + Error(outcome).message);
        }
      });
}

void host_keeper::impl::Tell(wave_state& wave, bool finished) {
  if (wave.telling) return;
  wave.telling = true;
  store::store_commit commit;
  commit.expected = {{ShardKey(), fence}};
  commit.writes = {{platform::WaveStateKey(wave.request.number),
                    platform::EncodeWaveState(wave.request.number, finished),
                    0}};
  context.store->Commit(
      commit, [weak = weak_from_this(), number = wave.request.number,
               finished](const result<store::commit_outcome>& outcome) {
        const auto self = weak.lock();
        if (!self) return;
        wave_state& wave = self->waves[number];
        wave.telling = false;
        if (!Ok(outcome) || !Value(outcome).committed) return;
        (finished ? wave.told_finished : wave.told_running) = true;
        self->context.log.Info(
            "hosts", "wave told, wave=" + std::to_string(number) +
                         " state=" + (finished ? "succeeded" : "running"));
      });
}

}  // namespace radishwing::node

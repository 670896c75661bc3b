#include "src/node/host_keeper.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "platform/config_codec.h"
#include "platform/host_client.h"
#include "platform/names.h"
#include "src/node/record_keys.h"
#include "src/sched/pool_planner.h"
#include "src/sched/wave_planner.h"

namespace radishwing::node {
namespace json = boost::json;
namespace {

// Hosts are listed this often.
constexpr millis kListMs = 500;
// Batch tasks get this long to end by themselves before they are stopped.
constexpr millis kPatienceMs = 3500;
constexpr millis kOrderRetryMs = 700;
// A host's runner is back about this long after the move itself.
constexpr millis kArrivalMs = 400;
constexpr millis kPoolLogMs = 1000;
// Share of the host service's order rate that moves may use; maintenance and
// retries have the rest.
constexpr double kMoveRateShare = 0.75;

std::string WaveKey(std::int64_t wave) {
  return "rw/w/" + std::to_string(wave);
}

}  // namespace

struct host_keeper::impl : std::enable_shared_from_this<host_keeper::impl> {
  struct wave_state {
    fleet::wave_request request;
    std::set<std::string> begun;
    std::map<std::string, millis> down_since;  ///< Ordered, not back yet.
    std::map<std::string, millis> draining_since;
    std::map<std::string, millis> retry_at;
    std::set<std::string> in_flight;
    bool loaded = false;
    bool told_running = false;
    bool told_finished = false;
    bool telling = false;
  };

  impl(node_context& context, const election& won, sched::scheduler& scheduler,
       host_keeper_hooks hooks)
      : context(context),
        fence(won.fence),
        scheduler(scheduler),
        hooks(std::move(hooks)),
        allowed_at(won.hosts_free_at),
        ordered_at(context.now.Now()) {}

  /// A move that was ordered and is not over.
  struct move_state {
    std::string to;
    millis ordered_at = 0;
    bool accepted = false;
    std::string runner;  ///< On the host before the move.
  };

  /// A runner whose host took an order that ends it.
  struct ending_runner {
    std::string host;
    millis ordered_at = 0;
  };

  void Tick();
  void PlanMoves();
  std::vector<sched::pool_host> HostViews() const;
  bool InWave(const std::string& host) const;
  void LogPools(const std::vector<sched::pool_host>& views,
                const std::map<std::string, sched::pool_demand>& demand);
  void Move(const sched::host_move& move);
  void OnMoved(const std::string& host, fleet::order_outcome outcome);
  void ExpireMoves();
  /// Tells of the runners that accepted orders have ended.
  void ConfirmEnds();
  void List();
  void LoadWave(std::int64_t number);
  void StepWave(wave_state& wave);
  void ChooseDrains(wave_state& wave, const std::vector<std::string>& left);
  void StepHost(wave_state& wave, const fleet::host_info& host);
  void Begin(wave_state& wave, const fleet::host_info& host);
  void OnBegun(std::int64_t number, const std::string& host,
               fleet::order_outcome outcome);
  void ReleaseHost(wave_state& wave, const std::string& host);
  void KeepWave(wave_state& wave);
  void Tell(wave_state& wave, bool finished);
  const fleet::host_info* FindHost(const std::string& name) const;

  node_context& context;
  std::uint64_t fence;
  sched::scheduler& scheduler;
  host_keeper_hooks hooks;
  std::unique_ptr<platform::host_client> client;
  std::map<std::int64_t, wave_state> waves;
  std::map<std::string, fleet::host_info> hosts;
  std::map<std::string, move_state> moves;
  std::map<std::string, ending_runner> ending;  ///< By runner.
  std::unique_ptr<sched::pool_planner> planner;
  std::string standby;
  millis pools_logged_at = 0;
  double move_tokens = 0;  ///< Moves that may be ordered now.
  millis tokens_at = 0;
  millis allowed_at;
  millis ordered_at;
  millis listed_at = -kListMs;
  bool listing = false;
  bool fenced = false;
};

const fleet::host_info* host_keeper::impl::FindHost(
    const std::string& name) const {
  const auto it = hosts.find(name);
  return it == hosts.end() ? nullptr : &it->second;
}

void host_keeper::impl::List() {
  const millis now = context.now.Now();
  if (listing || now - listed_at < kListMs) return;
  if (!client) {
    auto made = platform::host_client::Make(
        context.io, context.settings.hosts_address, context.settings.name);
    if (!Ok(made)) return;
    client = std::move(Value(made));
  }
  listing = true;
  listed_at = now;
  client->List(
      [weak = weak_from_this()](result<std::vector<fleet::host_info>> listed) {
        const auto self = weak.lock();
        if (!self) return;
        self->listing = false;
        if (Ok(listed)) {
          self->hosts.clear();
          std::set<std::string> runners;
          for (fleet::host_info& host : Value(listed)) {
            if (!host.runner.empty()) runners.insert(host.runner);
            self->hosts[host.name] = std::move(host);
          }
          self->hooks.listed(runners, self->listed_at);
          self->ConfirmEnds();
        } else {
          self->context.log.Warning(
              "hosts", "list failed, error=" + Error(listed).message);
        }
      });
}

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

void host_keeper::impl::Tick() {
  if (fenced) return;
  for (auto& [number, wave] : waves) {
    if (wave.told_finished) continue;
    if (!wave.loaded) {
      const millis now = context.now.Now();
      if (wave.retry_at[""] <= now) {
        wave.retry_at[""] = now + kOrderRetryMs;
        LoadWave(number);
      }
    }
  }
  List();
  if (hosts.empty()) return;
  ExpireMoves();
  for (auto& [number, wave] : waves) {
    if (wave.loaded && !wave.told_finished) StepWave(wave);
  }
  if (context.now.Now() >= allowed_at) PlanMoves();
}

bool host_keeper::impl::InWave(const std::string& host) const {
  return std::ranges::any_of(waves, [&](const auto& entry) {
    return entry.second.draining_since.contains(host) ||
           entry.second.down_since.contains(host);
  });
}

std::vector<sched::pool_host> host_keeper::impl::HostViews() const {
  std::vector<sched::pool_host> views;
  for (const auto& [name, host] : hosts) {
    sched::pool_host view;
    view.name = host.name;
    view.pool = host.pool;
    view.cpu_millis = host.cpu_millis;
    const auto move = moves.find(host.name);
    if (move != moves.end()) {
      view.pool = move->second.to;
      view.arriving = true;
      views.push_back(std::move(view));
      continue;
    }
    const sched::runner_state* runner = scheduler.FindRunner(host.runner);
    const bool up = host.state == fleet::host_state::kUp;
    view.arriving = host.state == fleet::host_state::kMoving;
    view.empty = runner ? runner->tasks.empty() : host.pool == standby;
    view.available = up && !InWave(host.name) &&
                     (runner || host.pool == standby) &&
                     (!runner || (runner->listed && !runner->report.draining));
    views.push_back(std::move(view));
  }
  return views;
}

void host_keeper::impl::PlanMoves() {
  if (!planner) {
    for (const fleet::pool_config& pool : context.config->pools) {
      if (pool.standby) standby = pool.name;
    }
    planner = std::make_unique<sched::pool_planner>(standby,
                                                    context.settings.move_ms);
  }
  const auto views = HostViews();
  const auto demand = scheduler.Demand();
  LogPools(views, demand);
  const auto wanted = planner->Plan(context.now.Now(), views, demand);
  const millis now = context.now.Now();
  const double rate = context.settings.host_orders_per_s * kMoveRateShare;
  move_tokens = std::min(
      rate, move_tokens + rate * static_cast<double>(now - tokens_at) / 1000);
  tokens_at = now;
  for (const sched::host_move& move : wanted) {
    if (move_tokens < 1) return;
    move_tokens -= 1;
    Move(move);
  }
}

// The inputs of the decisions on moves, once a second.
void host_keeper::impl::LogPools(
    const std::vector<sched::pool_host>& views,
    const std::map<std::string, sched::pool_demand>& demand) {
  const millis now = context.now.Now();
  if (now - pools_logged_at < kPoolLogMs) return;
  pools_logged_at = now;
  for (const auto& [pool, asked] : demand) {
    int count = 0;
    int empty = 0;
    int arriving = 0;
    for (const sched::pool_host& host : views) {
      if (host.pool != pool) continue;
      ++count;
      empty += host.available && host.empty ? 1 : 0;
      arriving += host.arriving ? 1 : 0;
    }
    context.log.Info(
        "pools",
        "pool load, pool=" + pool + " hosts=" + std::to_string(count) +
            " empty=" + std::to_string(empty) +
            " arriving=" + std::to_string(arriving) +
            " room_cpu=" + std::to_string(asked.room_cpu_millis) +
            " used_cpu=" + std::to_string(asked.used_cpu_millis) +
            " blocked_core_ms=" +
            std::to_string(static_cast<int>(asked.blocked_core_ms)) +
            " blocked_lasting=" + std::to_string(asked.blocked_lasting));
  }
}

void host_keeper::impl::Move(const sched::host_move& move) {
  const fleet::host_info* host = FindHost(move.host);
  if (!host || moves.contains(move.host)) return;
  const sched::runner_state* runner = scheduler.FindRunner(host->runner);
  if (runner && !runner->tasks.empty()) return;
  if (runner) scheduler.SetCordoned(host->runner, true);
  ordered_at = context.now.Now();
  moves[move.host] = {move.to, context.now.Now(), false, host->runner};
  client->Move(move.host, move.to, fence,
               [weak = weak_from_this(),
                name = move.host](fleet::order_outcome outcome) {
                 if (const auto self = weak.lock()) {
                   self->OnMoved(name, outcome);
                 }
               });
}

void host_keeper::impl::OnMoved(const std::string& name,
                                fleet::order_outcome outcome) {
  context.metrics.CountOrder("move", fleet::OrderOutcomeName(outcome));
  context.log.Info("hosts", "move ordered, host=" + name +
                                " pool=" + moves[name].to +
                                " outcome=" + fleet::OrderOutcomeName(outcome));
  if (outcome == fleet::order_outcome::kAccepted) {
    moves[name].accepted = true;
    ending[moves[name].runner] = {name, context.now.Now()};
    return;
  }
  if (outcome == fleet::order_outcome::kFenced) fenced = true;
  // Without an answer it may have moved: the next list tells.
  if (outcome == fleet::order_outcome::kUnknown) return;
  moves.erase(name);
  const fleet::host_info* host = FindHost(name);
  if (host) scheduler.SetCordoned(host->runner, false);
}

// An order is also accepted if it was carried out before, and then the runner
// lives on: only a list that was asked for after the order tells.
void host_keeper::impl::ConfirmEnds() {
  std::vector<std::string> ended;
  for (auto it = ending.begin(); it != ending.end();) {
    if (it->second.ordered_at >= listed_at) {
      ++it;
      continue;
    }
    const fleet::host_info* host = FindHost(it->second.host);
    if (!host || host->runner != it->first ||
        host->state != fleet::host_state::kUp) {
      ended.push_back(it->first);
    } else {
      scheduler.SetCordoned(it->first, false);
    }
    it = ending.erase(it);
  }
  for (const std::string& runner : ended) hooks.runner_ended(runner);
}

// A move is over when its host is listed with a runner in its new pool, or
// when it should have been and is not.
void host_keeper::impl::ExpireMoves() {
  const millis now = context.now.Now();
  std::erase_if(moves, [&](const auto& entry) {
    const move_state& move = entry.second;
    const millis age = now - move.ordered_at;
    const fleet::host_info* host = FindHost(entry.first);
    if (!host) return true;
    const bool there = host->pool == move.to &&
                       host->state == fleet::host_state::kUp &&
                       listed_at > move.ordered_at + context.settings.move_ms;
    if (there) {
      const sched::runner_state* runner = scheduler.FindRunner(host->runner);
      return move.to == standby || (runner && runner->listed) ||
             age > 4 * (context.settings.move_ms + kArrivalMs);
    }
    if (age < 3 * (context.settings.move_ms + kArrivalMs)) return false;
    scheduler.SetCordoned(host->runner, false);
    return true;
  });
}

void host_keeper::impl::StepWave(wave_state& wave) {
  if (!wave.told_running) return Tell(wave, false);
  const millis now = context.now.Now();
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
  if (all_begun) {
    scheduler.SetDue({});
    return Tell(wave, true);
  }
  if (now < allowed_at) return;
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
      wave.retry_at[host] = context.now.Now() + kOrderRetryMs;
      return;
    default:
      wave.retry_at[host] = context.now.Now() + kOrderRetryMs;
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

host_keeper::host_keeper(node_context& context, const election& won,
                         sched::scheduler& scheduler, host_keeper_hooks hooks)
    : impl_(std::make_shared<impl>(context, won, scheduler, std::move(hooks))) {
}

host_keeper::~host_keeper() = default;

void host_keeper::AddWave(const fleet::wave_request& wave) {
  auto& state = impl_->waves[wave.number];
  if (state.request.number == wave.number && !state.request.hosts.empty()) {
    return;
  }
  state.request = wave;
  impl_->context.log.Info(
      "hosts", "wave requested, wave=" + std::to_string(wave.number) +
                   " hosts=" + std::to_string(wave.hosts.size()) +
                   " max_down=" + std::to_string(wave.max_down) +
                   " duration_ms=" + std::to_string(wave.duration_ms));
}

millis host_keeper::OrderAge() const {
  return impl_->context.now.Now() - impl_->ordered_at;
}

void host_keeper::Tick() { impl_->Tick(); }

}  // namespace radishwing::node

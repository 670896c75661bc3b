#include "bench/queue_simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "bench/share_gap.h"

namespace radishwing::bench {
namespace {

constexpr millis kChargeMs = 100;
// The tick of an entry with waiting work and full runners.
constexpr millis kTickMs = 2;

double Sum(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

}  // namespace

queue_simulation::queue_simulation(const queue_workload& work,
                                   std::uint64_t seed)
    : work_(work), random_(seed), runner_running_(work.runners) {
  for (std::uint32_t i = 0; i < work_.teams; ++i) {
    weights_.push_back(1 + static_cast<double>(i % 4));
    bias_.push_back(std::pow(10, 2 * Uniform() - 1));
    mean_run_.push_back(50 + 300 * Uniform());
    std::vector<double> reach(work_.entries, 1);
    for (double& part : reach) {
      if (work_.uneven) part = std::pow(Uniform(), 2);
    }
    const double total = Sum(reach);
    for (double& part : reach) part /= total;
    reach_.push_back(reach);
  }
  for (std::uint32_t i = 0; i < work_.entries; ++i) AddEntry(seed + i);
  record_.entry_samples.resize(work_.entries);
}

void queue_simulation::AddEntry(std::uint64_t seed) {
  entry_side side;
  side.queue = std::make_unique<fairness::fair_queue>();
  for (std::uint32_t i = 0; i < work_.teams; ++i) {
    side.queue->SetWeight(i, weights_[i]);
  }
  side.group = std::make_unique<routing::runner_group>("dc1", seed);
  std::vector<routing::runner_info> runners(work_.runners);
  for (std::uint32_t i = 0; i < work_.runners; ++i) {
    runners[i].id = "r" + std::to_string(i);
    runners[i].data_centre = "dc1";
    runners[i].slots = static_cast<std::uint16_t>(work_.slots);
  }
  std::uint32_t index = 0;
  side.group->Apply(runners, index);
  side.got.resize(work_.teams);
  side.due.resize(work_.teams);
  side.running.resize(work_.teams);
  side.waiting.resize(work_.teams);
  entries_.push_back(std::move(side));
}

double queue_simulation::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

double queue_simulation::Demand(std::uint32_t team) const {
  if (now_ < work_.step_at_ms && team % 2 == 1) return 0;
  const auto turn = static_cast<std::uint32_t>(now_ / work_.peak_ms);
  const bool peaks = turn % work_.turns == team % work_.turns;
  const double mean =
      work_.load * work_.runners * work_.slots * weights_[team] / Sum(weights_);
  return mean * (peaks ? work_.peak : work_.off_peak);
}

std::uint32_t queue_simulation::EntryOf(std::uint32_t team) {
  double drawn = Uniform();
  for (std::uint32_t i = 0; i + 1 < work_.entries; ++i) {
    drawn -= reach_[team][i];
    if (drawn < 0) return i;
  }
  return work_.entries - 1;
}

void queue_simulation::Generate() {
  for (std::uint32_t team = 0; team < work_.teams; ++team) {
    // Long work is a fifth of the items and ten times as long.
    const double mean = mean_run_[team] * (work_.with_classes ? 2.8 : 1);
    std::poisson_distribution<int> arrivals(Demand(team) / mean);
    if (Demand(team) <= 0) continue;
    for (int i = arrivals(random_); i > 0; --i) Add(team);
  }
}

void queue_simulation::Add(std::uint32_t team) {
  request made;
  made.team = team;
  made.entry = EntryOf(team);
  made.arrived = now_;
  double run =
      mean_run_[team] * std::exponential_distribution<double>(1)(random_);
  const double drawn = Uniform();
  made.cls = fairness::work_class::kInteractive;
  if (work_.with_classes && drawn < 0.1) {
    made.cls = fairness::work_class::kUrgent;
  } else if (work_.with_classes && drawn < 0.3) {
    made.cls = fairness::work_class::kLong;
    run *= 10;
  }
  made.run_ms = 1 + static_cast<millis>(run);
  const double off =
      work_.off_by_item ? std::pow(10, 2 * Uniform() - 1) : bias_[team];
  made.expected_ms = 1 + static_cast<millis>(run * off);
  entry_side& entry = entries_[made.entry];
  if (entry.waiting[team] >= work_.queue_limit) return;
  ++entry.waiting[team];
  fairness::queue_item item;
  item.id = requests_.size();
  item.team = work_.order == queue_order::kFifo ? 0 : team;
  item.cls = work_.order == queue_order::kFair
                 ? made.cls
                 : fairness::work_class::kInteractive;
  item.expected_ms = made.expected_ms;
  made.number = entry.queue->Push(item);
  requests_.push_back(made);
}

void queue_simulation::Schedule(millis at, step what, std::uint64_t id) {
  events_.push({at, order_++, what, id});
}

void queue_simulation::Dispatch(entry_side& entry) {
  const auto any = [](std::uint32_t) { return true; };
  while (entry.group->MayHaveRoom() && entry.queue->Waiting() > 0) {
    auto popped = entry.queue->Pop(0, any);
    if (!popped) return;
    routing::runner_state* runner = entry.group->Pick(now_, false, {});
    if (runner == nullptr) {
      entry.queue->Requeue(popped->number);
      return;
    }
    request& sent = requests_[popped->id];
    sent.runner = runner;
    sent.probe = entry.group->Started(*runner);
    sent.sent = now_;
    ++record_.attempts;
    --entry.waiting[sent.team];
    if (work_.one_way_ms == 0) {
      Handle({now_, 0, step::kArrive, popped->id});
    } else {
      Schedule(now_ + work_.one_way_ms, step::kArrive, popped->id);
    }
  }
}

void queue_simulation::Handle(const event& next) {
  request& at = requests_[next.id];
  entry_side& entry = entries_[at.entry];
  switch (next.what) {
    case step::kArrive:
      return Arrive(next.id);
    case step::kEnd:
      --runner_running_[at.runner->index];
      at.started = false;
      --entry.running[at.team];
      Schedule(now_ + work_.one_way_ms, step::kAnswer, next.id);
      return;
    case step::kAnswer:
      return Answer(at);
    case step::kRefusal:
      entry.group->Finished(*at.runner, at.probe,
                            routing::attempt_result::kFull, now_);
      entry.queue->Requeue(at.number);
      ++entry.waiting[at.team];
      return;
  }
}

void queue_simulation::Arrive(std::uint64_t id) {
  request& at = requests_[id];
  std::uint32_t& running = runner_running_[at.runner->index];
  if (running >= work_.slots) {
    ++record_.refused;
    return Schedule(now_ + work_.one_way_ms, step::kRefusal, id);
  }
  ++running;
  at.started = true;
  in_flight_.push_back(id);
  ++entries_[at.entry].running[at.team];
  auto& starts = at.cls == fairness::work_class::kUrgent
                     ? record_.urgent_start_ms
                     : record_.other_start_ms;
  starts.push_back(static_cast<double>(now_ - at.arrived));
  Schedule(now_ + at.run_ms, step::kEnd, id);
}

void queue_simulation::Answer(request& done) {
  entry_side& entry = entries_[done.entry];
  const millis used = now_ - done.sent;
  entry.group->Finished(*done.runner, done.probe,
                        routing::attempt_result::kSuccess, now_);
  if (work_.entries > 1 && entry.queue->Waiting() > 0) {
    entry.group->MaybeYield(*done.runner, used, now_);
  }
  entry.queue->Finish(done.number, used);
}

void queue_simulation::ChargeRunning() {
  std::erase_if(in_flight_,
                [this](std::uint64_t id) { return !requests_[id].started; });
  for (std::uint64_t id : in_flight_) {
    const request& running = requests_[id];
    if (now_ - running.sent > running.expected_ms) {
      entries_[running.entry].queue->Charge(running.number,
                                            now_ - running.sent);
    }
  }
}

void queue_simulation::Account() {
  const double slots = static_cast<double>(work_.runners) * work_.slots;
  std::vector<double> demand(work_.teams);
  double waiting = 0;
  double running = 0;
  for (entry_side& entry : entries_) {
    double own = 0;
    std::vector<double> own_demand(work_.teams);
    for (std::uint32_t i = 0; i < work_.teams; ++i) {
      own_demand[i] = entry.running[i] + entry.waiting[i];
      demand[i] += own_demand[i];
      entry.got[i] += entry.running[i];
      own += entry.running[i];
      waiting += entry.waiting[i];
    }
    running += own;
    const auto due = FillByWeight(own, weights_, own_demand);
    for (std::uint32_t i = 0; i < work_.teams; ++i) entry.due[i] += due[i];
  }
  record_.slot_ms += slots;
  record_.idle_ms += std::min(slots - running, waiting);
  auto& sample = record_.samples.back();
  const auto due = FillByWeight(slots, weights_, demand);
  for (std::uint32_t i = 0; i < work_.teams; ++i) sample.due[i] += due[i];
}

void queue_simulation::TakeSample() {
  auto& sample = record_.samples.back();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    entry_side& entry = entries_[i];
    for (std::uint32_t t = 0; t < work_.teams; ++t) {
      sample.got[t] += entry.got[t];
    }
    record_.entry_samples[i].push_back({entry.got, entry.due});
    entry.got.assign(work_.teams, 0);
    entry.due.assign(work_.teams, 0);
  }
}

queue_record queue_simulation::Run() {
  const std::vector<double> none(work_.teams);
  for (now_ = 0; now_ < work_.length_ms; ++now_) {
    if (now_ % queue_record::kSampleMs == 0) {
      record_.samples.push_back({none, none});
    }
    Generate();
    while (!events_.empty() && events_.top().at <= now_) {
      const event next = events_.top();
      events_.pop();
      Handle(next);
      if (next.what == step::kAnswer)
        Dispatch(entries_[requests_[next.id].entry]);
    }
    if (now_ % kTickMs == 0) {
      for (auto& entry : entries_) Dispatch(entry);
    }
    if (now_ % kChargeMs == 0) ChargeRunning();
    if (now_ % 1000 == 0) {
      for (auto& entry : entries_) entry.queue->Sweep();
    }
    Account();
    if ((now_ + 1) % queue_record::kSampleMs == 0) TakeSample();
  }
  return std::move(record_);
}

}  // namespace radishwing::bench

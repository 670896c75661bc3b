#include "src/routing/runner_group.h"

#include <algorithm>

namespace radishwing::routing {
namespace {

// After a rejection no more than the present requests are sent for this long,
// doubling while it goes on: other entries hold the slots, and only an attempt
// can tell when they are free. The longest wait is that of a yield, so that a
// slot left by one entry is found by another.
constexpr millis kFullBackoffFirstMs = 2;
constexpr millis kFullBackoffLongestMs = 8;
constexpr millis kYieldMs = 8;
// Part of the slot time that yields may leave idle if no other entry wants it.
constexpr double kYieldCost = 0.005;
// Pause after a refused connection to a runner that cannot be ejected.
constexpr millis kRefusedPauseMs = 50;

// Draws before falling back to a scan. At half load two draws succeed with
// 15/16.
constexpr int kDraws = 4;

}  // namespace

void runner_group::Apply(std::span<const runner_info> runners,
                         std::uint32_t& next_index) {
  for (auto& runner : runners_) runner->listed = false;
  for (const runner_info& info : runners) ApplyOne(info, next_index);
  near_.clear();
  far_.clear();
  slots_ = 0;
  for (auto& runner : runners_) {
    if (!runner->AcceptsWork()) continue;
    bool is_near = runner->info.data_centre == own_data_centre_;
    (is_near ? near_ : far_).push_back(runner.get());
    slots_ += runner->info.slots;
  }
}

void runner_group::ApplyOne(const runner_info& info,
                            std::uint32_t& next_index) {
  for (auto& runner : runners_) {
    if (runner->info.id != info.id || runner->info.address != info.address) {
      continue;
    }
    // What a runner said of itself holds until its listing shows the end of
    // the leave: not accepting in between, or a later host epoch.
    if ((info.accepts_work && !runner->info.accepts_work) ||
        info.host_epoch > runner->info.host_epoch) {
      runner->leaving = false;
    }
    runner->info = info;
    runner->listed = true;
    return;
  }
  auto added = std::make_unique<runner_state>();
  added->info = info;
  added->index = next_index++;
  runners_.push_back(std::move(added));
}

bool runner_group::Eligible(const runner_state& runner, millis now,
                            bool idempotent,
                            std::span<runner_state* const> tried) const {
  if (!runner.AcceptsWork() || runner.in_flight >= runner.Room(now) ||
      !runner.failures.Admits(now, idempotent)) {
    return false;
  }
  return std::find(tried.begin(), tried.end(), &runner) == tried.end();
}

runner_state* runner_group::DrawTwo(std::span<runner_state* const> from,
                                    millis now, bool idempotent,
                                    std::span<runner_state* const> tried) {
  if (from.empty()) return nullptr;
  runner_state* first = nullptr;
  runner_state* second = nullptr;
  auto consider = [&](runner_state* runner) {
    if (runner == first || !Eligible(*runner, now, idempotent, tried)) return;
    (first ? second : first) = runner;
  };
  for (int i = 0; i < kDraws && !second; ++i) {
    consider(from[random_() % from.size()]);
  }
  std::size_t start = random_() % from.size();
  for (std::size_t i = 0; i < from.size() && !second; ++i) {
    consider(from[(start + i) % from.size()]);
  }
  if (!second) return first;
  return second->LoadWithOneMore() < first->LoadWithOneMore() ? second : first;
}

runner_state* runner_group::PickFrom(millis now, bool idempotent,
                                     std::span<runner_state* const> tried) {
  runner_state* near = DrawTwo(near_, now, idempotent, tried);
  runner_state* far = DrawTwo(far_, now, idempotent, tried);
  if (!near || !far) return near ? near : far;
  bool prefer_far = near->LoadWithOneMore() > 2 * far->LoadWithOneMore();
  return prefer_far ? far : near;
}

runner_state* runner_group::Pick(millis now, bool idempotent,
                                 std::span<runner_state* const> tried) {
  runner_state* picked = PickFrom(now, idempotent, tried);
  if (!picked && !tried.empty()) picked = PickFrom(now, idempotent, {});
  return picked;
}

bool runner_group::Started(runner_state& runner) {
  ++runner.in_flight;
  ++in_flight_;
  return runner.failures.Start();
}

void runner_group::Finished(runner_state& runner, bool probe,
                            attempt_result how, millis now) {
  --runner.in_flight;
  --in_flight_;
  switch (how) {
    case attempt_result::kSuccess:
      runner.failures.Success(probe);
      if (now >= runner.limit_until_ms) runner.full_backoff_ms = 0;
      break;
    case attempt_result::kRefused:
      runner.failures.Failure(now, probe, ejection::kEjectAfter, MayEject());
      if (!runner.failures.Out()) runner.LimitUntil(now + kRefusedPauseMs);
      break;
    case attempt_result::kFailed:
      runner.failures.Failure(now, probe, 1, MayEject());
      break;
    case attempt_result::kFull:
      // It answers, so it is alive.
      runner.failures.Success(probe);
      runner.full_backoff_ms =
          std::clamp(runner.full_backoff_ms * 2, kFullBackoffFirstMs,
                     kFullBackoffLongestMs);
      runner.LimitUntil(now + runner.full_backoff_ms);
      break;
    case attempt_result::kNoVerdict:
      runner.failures.Abandon(probe);
      break;
  }
}

void runner_group::MaybeYield(runner_state& runner, millis run_ms, millis now) {
  double odds = std::min(0.5, kYieldCost * static_cast<double>(run_ms) /
                                  static_cast<double>(kYieldMs));
  double drawn = static_cast<double>(random_() - random_.min()) /
                 static_cast<double>(random_.max() - random_.min());
  if (drawn < odds) {
    runner.LimitUntil(std::max(runner.limit_until_ms, now + kYieldMs));
  }
}

bool runner_group::MayEject() const {
  std::size_t out = 0;
  std::size_t listed = 0;
  for (const auto& runner : runners_) {
    if (!runner->AcceptsWork()) continue;
    ++listed;
    if (runner->failures.Out()) ++out;
  }
  return (out + 1) * 2 <= listed;
}

std::vector<std::uint32_t> runner_group::RemoveGone() {
  std::vector<std::uint32_t> removed;
  std::erase_if(runners_, [&](const auto& runner) {
    bool gone = !runner->listed && runner->in_flight == 0;
    if (gone) removed.push_back(runner->index);
    return gone;
  });
  return removed;
}

}  // namespace radishwing::routing

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

#include "bench/bench_case.h"
#include "src/pools/demand_peak.h"
#include "src/pools/move_planner.h"
#include "src/pools/policy_presets.h"
#include "src/pools/pool_size.h"

namespace radishwing::bench {
namespace {

using namespace pools;

constexpr int kPools = 20;
constexpr std::uint32_t kSlotsPerHost = 8;
constexpr millis kWindowMs = 600'000;
constexpr millis kDayMs = 24 * 3'600'000;
constexpr millis kStepMs = 1000;

/// Demand of pools that take turns peaking: for 8 s of each minute one pool in
/// four is at its own peak of 2 to 5 times its mean; between peaks demand falls
/// to a twentieth. Means follow a daily rhythm of +-40%.
class demand_source {
 public:
  explicit demand_source(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < kPools; ++i) {
      mean_[i] = 8 + static_cast<double>(random() % 17);
      ratio_[i] = 2 + static_cast<double>(random() % 301) / 100;
      phase_[i] = static_cast<double>(random() % 1000) / 1000;
    }
  }

  double At(int pool, millis now) const {
    const double hours = static_cast<double>(now) / 3'600'000;
    const double drift =
        1 + 0.4 * std::sin(2 * M_PI * (hours / 24 + phase_[pool]));
    const millis second = now / 1000;
    const bool peaks = second % 60 < 8 && (second / 60 + pool) % 4 == 0;
    return mean_[pool] * drift * (peaks ? ratio_[pool] : 0.05);
  }

  double Mean(int pool) const { return mean_[pool]; }

 private:
  double mean_[kPools] = {};
  double ratio_[kPools] = {};
  double phase_[kPools] = {};
};

struct outcome {
  double host_hours = 0;
  double late_slot_share = 0;  ///< Slot time that had to wait.
  double moves = 0;
};

enum class sizing { kFixed, kMeasured, kFollow };

pool_demand DemandOf(const demand_source& source, const demand_peak& window,
                     int pool, millis now) {
  pool_demand demand;
  demand.peak_slots = window.Peak(now);
  demand.mean_slots = window.Mean(now);
  demand.slots_per_host = kSlotsPerHost;
  demand.largest_domain = 4;
  demand.floor_hosts = 2;
  demand.target_hosts = static_cast<std::uint32_t>(
      std::ceil(source.Mean(pool) * 5 * 1.4 / kSlotsPerHost));
  return demand;
}

std::uint32_t Wanted(sizing kind, const pool_demand& demand, double now_slots,
                     const settings::policy_settings& policy) {
  if (kind == sizing::kMeasured) return SizePool(demand, policy).Total();
  if (kind == sizing::kFixed) return demand.target_hosts + 4;
  return std::max(
      2u, static_cast<std::uint32_t>(std::ceil(now_slots / kSlotsPerHost)));
}

// Hosts beyond what the pools want wait in a spare pool and cost nothing here.
outcome Simulate(std::uint64_t seed, sizing kind,
                 const settings::policy_settings& policy) {
  const demand_source source(seed);
  std::vector<demand_peak> windows(kPools, demand_peak(kWindowMs));
  std::vector<pool_state> state(kPools + 1);
  state[kPools] = {"spare", 1000, 0, 0, true};
  move_planner planner(policy);
  outcome total;
  double demanded = 0;
  double late = 0;
  for (millis now = 0; now < kDayMs; now += kStepMs) {
    for (int i = 0; i < kPools; ++i) {
      const auto index = static_cast<std::size_t>(i);
      const double slots = source.At(i, now);
      windows[index].Record(now, slots);
      pool_state& pool = state[index];
      pool.pool = "pool" + std::to_string(i);
      pool.wanted =
          Wanted(kind, DemandOf(source, windows[index], i, now), slots, policy);
      // The first window sets the sizes; from then on hosts move.
      if (now < kWindowMs) pool.hosts = pool.wanted;
      if (now < kWindowMs) continue;
      if (kind == sizing::kFollow && pool.hosts != pool.wanted) {
        total.moves += std::abs(static_cast<double>(pool.hosts) -
                                static_cast<double>(pool.wanted));
        pool.hosts = pool.wanted;
      }
      demanded += slots;
      late += std::max(0.0, slots - double{kSlotsPerHost} * pool.hosts);
      total.host_hours += pool.hosts * double{kStepMs} / 3'600'000;
    }
    if (now < kWindowMs || kind != sizing::kMeasured) continue;
    for (const host_move& move : planner.Plan(now, state)) {
      ++total.moves;
      for (pool_state& pool : state) {
        pool.hosts -= pool.pool == move.from ? 1 : 0;
        pool.hosts += pool.pool == move.to ? 1 : 0;
      }
    }
  }
  total.late_slot_share = late / demanded;
  return total;
}

std::vector<figure> Run(std::uint64_t seed) {
  const auto surges = *PresetPolicy("deadline_surges");
  const auto lean = *PresetPolicy("lean_buffer");
  const outcome fixed = Simulate(seed, sizing::kFixed, surges);
  const outcome measured = Simulate(seed, sizing::kMeasured, surges);
  const outcome lean_measured = Simulate(seed, sizing::kMeasured, lean);
  const outcome follow = Simulate(seed, sizing::kFollow, surges);
  const double hours = static_cast<double>(kDayMs - kWindowMs) / 3'600'000;
  return {
      {"fixed buffer, hosts", fixed.host_hours / hours, "", "", false},
      {"deadline_surges, hosts", measured.host_hours / hours, "", "", false},
      {"lean_buffer, hosts", lean_measured.host_hours / hours, "", "", false},
      {"fixed buffer, late slot time", 100 * fixed.late_slot_share, "%", "",
       false},
      AtMost("deadline_surges, late slot time", 100 * measured.late_slot_share,
             "%", 100 * fixed.late_slot_share + 0.1),
      {"lean_buffer, late slot time", 100 * lean_measured.late_slot_share, "%",
       "", false},
      AtLeast("hosts saved against the fixed buffer",
              100 * (1 - measured.host_hours / fixed.host_hours), "%", 30),
      {"following demand, moves", follow.moves, "", "", false},
      {"deadline_surges, moves", measured.moves, "", "", false},
      {"lean_buffer, moves", lean_measured.moves, "", "", false},
      AtLeast("moves saved against following demand",
              100 * (1 - measured.moves / follow.moves), "%", 60)};
}

const registration kRegistration(
    {"pools",
     "20 pools of about 10 hosts, 24 h at 1 s steps, peaks of 2 to 5 times the "
     "mean for 8 s, daily rhythm of +-40%",
     Run});

}  // namespace
}  // namespace radishwing::bench

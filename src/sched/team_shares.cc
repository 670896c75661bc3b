#include "src/sched/team_shares.h"

#include <algorithm>
#include <cmath>

#include "src/sched/fair_division.h"

namespace radishwing::sched {
namespace {

// Time constant of the decay of a team's past use: several times the run time
// of a short task, so that a team does not gain by sending its work in bursts.
constexpr double kDecayMs = 3000;
// Bounds of a team's weight. Within them, the levels of teams stay comparable.
constexpr double kMinWeight = 1e-9;
constexpr double kMaxWeight = 1e9;
// A demand that takes this time on the whole pool counts as its whole capacity.
constexpr double kDemandHorizonMs = 1000;
// Part of its due share that a team uses if its share holds it back.
constexpr double kHeldBackRatio = 0.9;

double EffectiveWeight(double weight) {
  if (!std::isfinite(weight) || weight <= 0) return kMinWeight;
  return std::clamp(weight, kMinWeight, kMaxWeight);
}

double Part(std::int64_t amount, std::int64_t capacity) {
  return capacity <= 0
             ? 0.0
             : static_cast<double>(amount) / static_cast<double>(capacity);
}

// Returns the largest part of the capacity that `held` takes.
double DominantShare(const fleet::resources& held,
                     const fleet::resources& capacity) {
  return std::max({Part(held.cpu_millicores, capacity.cpu_millicores),
                   Part(held.memory_mb, capacity.memory_mb),
                   Part(held.accelerators, capacity.accelerators)});
}

}  // namespace

void team_shares::SetConfig(const fleet::fleet_config& config) {
  weights_.clear();
  double sum = 0;
  for (const fleet::team_config& team : config.teams) {
    const double weight = EffectiveWeight(team.weight);
    weights_[team.name] = weight;
    sum += weight;
  }
  mean_weight_ =
      weights_.empty() ? 1 : sum / static_cast<double>(weights_.size());
  for (const auto& [key, account] : accounts_) {
    account->weight = FindWeight(account->team);
  }
}

double team_shares::FindWeight(const std::string& team) const {
  const auto it = weights_.find(team);
  return it == weights_.end() ? mean_weight_ : it->second;
}

share_account& team_shares::Account(const std::string& pool,
                                    const std::string& team) {
  auto& slot = accounts_[{pool, team}];
  if (!slot) {
    slot = std::make_unique<share_account>();
    slot->pool = pool;
    slot->team = team;
    slot->number = static_cast<int>(accounts_.size()) - 1;
    slot->updated_at = now_;
    slot->weight = FindWeight(team);
  }
  return *slot;
}

void team_shares::AddRun(share_account& account, const fleet::resources& needs,
                         int sign) {
  Update(account);
  if (sign > 0) {
    account.held += needs;
  } else {
    account.held -= needs;
  }
}

void team_shares::AddPastUse(share_account& account,
                             const fleet::resources& needs) {
  account.adopted += needs;
}

void team_shares::AddWaiting(share_account& account, double core_ms) {
  if (core_ms <= 0) return;
  if (account.waiting_core_ms <= 0) waiting_.push_back(&account);
  account.waiting_core_ms += core_ms;
}

void team_shares::BeginPass(
    millis now, std::map<std::string, fleet::resources> capacities) {
  now_ = std::max(now_, now);
  capacities_ = std::move(capacities);
  for (share_account* account : waiting_) account->waiting_core_ms = 0;
  waiting_.clear();
}

double team_shares::Level(share_account& account) {
  Update(account);
  const auto capacity = capacities_.find(account.pool);
  if (capacity == capacities_.end()) return 0;
  const double share = DominantShare(account.held, capacity->second);
  return (account.recent_share + share) / 2 / account.weight;
}

void team_shares::Update(share_account& account) const {
  const auto capacity = capacities_.find(account.pool);
  if (capacity == capacities_.end()) return;
  if (account.adopted != fleet::resources{}) {
    account.recent_share += DominantShare(account.adopted, capacity->second);
    account.adopted = {};
  }
  if (now_ <= account.updated_at) return;
  const double kept =
      std::exp(-static_cast<double>(now_ - account.updated_at) / kDecayMs);
  const double share = DominantShare(account.held, capacity->second);
  account.recent_share = share + (account.recent_share - share) * kept;
  account.updated_at = now_;
}

std::vector<share_report> team_shares::Report() {
  constexpr double kNegligibleShare = 1e-4;
  std::vector<share_report> reports;
  std::size_t first = 0;  // First report of the current pool.
  for (const auto& [key, account] : accounts_) {
    Update(*account);
    if (account->recent_share < kNegligibleShare &&
        account->waiting_core_ms <= 0) {
      continue;
    }
    if (!reports.empty() && reports.back().pool != account->pool) {
      SetDueShares(reports, first);
      first = reports.size();
    }
    reports.push_back({.pool = account->pool,
                       .team = account->team,
                       .weight = account->weight,
                       .used_share = account->recent_share,
                       .waiting_core_ms = account->waiting_core_ms});
  }
  SetDueShares(reports, first);
  return reports;
}

void team_shares::SetDueShares(std::vector<share_report>& reports,
                               std::size_t first) const {
  std::vector<share_claim> claims;
  for (std::size_t i = first; i < reports.size(); ++i) {
    const auto capacity = capacities_.find(reports[i].pool);
    const double cores =
        capacity == capacities_.end()
            ? 0.0
            : static_cast<double>(capacity->second.cpu_millicores) / 1000;
    const double waiting_share =
        cores > 0 ? reports[i].waiting_core_ms / (cores * kDemandHorizonMs) : 0;
    claims.push_back(
        {reports[i].weight, reports[i].used_share + waiting_share});
  }
  const std::vector<double> due = DivideByWeight(1, claims);
  for (std::size_t i = 0; i < due.size(); ++i) {
    share_report& report = reports[first + i];
    report.due_share = due[i];
    report.held_back = due.size() > 1 && report.waiting_core_ms > 0 &&
                       report.used_share >= kHeldBackRatio * due[i];
  }
}

}  // namespace radishwing::sched

#include "src/sched/start_queue.h"

#include <algorithm>
#include <set>

namespace radishwing::sched {
namespace {

// Position of the prospect and of the priority in a tier's key.
constexpr int kProspectShift = 32;
constexpr int kPriorityShift = 8;
// A team is over its share if its share of the pool exceeds the mean for its
// weight by this ratio and by this part of the pool. Teams with few jobs exceed
// the mean by chance.
constexpr double kOverShareRatio = 1.1;
constexpr double kOverShareSlack = 0.03;
// Marks the tiers of teams that are over their share.
constexpr std::uint64_t kOverShareBit = 4;

}  // namespace

std::uint64_t start_queue::TierKey(const job_rank& rank, bool over_share) {
  constexpr int kMaxPriority = 0xffff;
  const int priority = std::clamp(rank.priority, 0, kMaxPriority);
  return (static_cast<std::uint64_t>(rank.prospect) << kProspectShift) |
         (static_cast<std::uint64_t>(priority) << kPriorityShift) |
         (over_share ? kOverShareBit : 0) |
         static_cast<std::uint64_t>(rank.stage);
}

bool start_queue::HasHigherLevel(const team_group* a, const team_group* b) {
  if (a->level != b->level) return a->level > b->level;
  if (a->rank.stage != b->rank.stage) return a->rank.stage > b->rank.stage;
  return a->account->team > b->account->team;
}

// Long-running jobs come first in any case, whatever their team holds.
bool start_queue::HasObjective(const job_rank& rank) {
  return rank.prospect != job_prospect::kLongRunning;
}

start_queue::team_group& start_queue::FindGroup(share_account& account,
                                                const job_rank& rank) {
  const auto number = static_cast<std::size_t>(account.number);
  if (number >= groups_by_account_.size()) {
    groups_by_account_.resize(number + 1);
  }
  std::vector<team_group*>& groups = groups_by_account_[number];
  for (team_group* group : groups) {
    if (TierKey(group->rank, false) == TierKey(rank, false)) return *group;
  }
  groups_.push_back({&account, rank, 0, HasObjective(rank), {}});
  groups.push_back(&groups_.back());
  pools_[account.pool].groups.push_back(&groups_.back());
  return groups_.back();
}

void start_queue::Add(job_state& job, const job_rank& rank) {
  FindGroup(*job.account, rank)
      .jobs.push_back({rank.order, job_count_++, &job});
}

void start_queue::ComputeLevel(team_group& group) {
  group.level = group.has_level ? shares_.Level(*group.account) : 0;
}

void start_queue::MakeTiers() {
  has_tiers_ = true;
  for (auto& [name, pool] : pools_) {
    const double mean_level = MeanLevel(pool);
    const bool lasts = short_pools_.contains(name);
    // By key, the group that takes the jobs of all teams within their share.
    std::map<std::uint64_t, team_group*> merged;
    for (team_group* group : pool.groups) {
      const double weight = group->account->weight;
      const bool by_deadline =
          !lasts && group->rank.prospect == job_prospect::kInTime;
      if (by_deadline) group->rank.stage = 0;
      const bool over_share =
          !by_deadline &&
          group->level * weight >
              kOverShareRatio * mean_level * weight + kOverShareSlack;
      const std::uint64_t key = TierKey(group->rank, over_share);
      team_group*& common = merged[key];
      if (!over_share && common) {
        common->jobs.insert(common->jobs.end(), group->jobs.begin(),
                            group->jobs.end());
        continue;
      }
      common = group;
      group->has_level = over_share;
      pool.tiers[key].groups.push_back(group);
    }
  }
}

double start_queue::MeanLevel(pool_line& pool) {
  double shares = 0;
  double weights = 0;
  std::set<const share_account*> counted;
  for (team_group* group : pool.groups) {
    ComputeLevel(*group);
    if (!counted.insert(group->account).second) continue;
    shares += group->level * group->account->weight;
    weights += group->account->weight;
  }
  return weights > 0 ? shares / weights : 0;
}

start_queue::tier& start_queue::FirstTier(pool_line& pool) {
  tier& first = pool.tiers.begin()->second;
  if (first.in_use) return first;
  first.in_use = true;
  for (team_group* group : first.groups) {
    ComputeLevel(*group);
    std::ranges::sort(group->jobs, [](const entry& a, const entry& b) {
      return a.order != b.order ? a.order > b.order : a.number > b.number;
    });
  }
  std::ranges::make_heap(first.groups, HasHigherLevel);
  return first;
}

start_queue::pool_line* start_queue::SelectPool() {
  pool_line* best = nullptr;
  std::uint64_t best_prospect = 0;
  for (auto& [name, pool] : pools_) {
    if (pool.tiers.empty()) continue;
    const std::uint64_t prospect = pool.tiers.begin()->first >> kProspectShift;
    if (!best || prospect < best_prospect ||
        (prospect == best_prospect && pool.starts < best->starts)) {
      best = &pool;
      best_prospect = prospect;
    }
  }
  return best;
}

// A level that is out of date is too low. So the first group whose level is up
// to date has the lowest level.
void start_queue::UpdateFront(tier& first) {
  for (;;) {
    team_group* front = first.groups.front();
    const double level = front->level;
    ComputeLevel(*front);
    if (front->level == level) return;
    std::ranges::pop_heap(first.groups, HasHigherLevel);
    std::ranges::push_heap(first.groups, HasHigherLevel);
  }
}

bool start_queue::DropEmptyGroup(pool_line& pool) {
  tier& first = pool.tiers.begin()->second;
  if (!first.groups.front()->jobs.empty()) return false;
  std::ranges::pop_heap(first.groups, HasHigherLevel);
  first.groups.pop_back();
  if (first.groups.empty()) pool.tiers.erase(pool.tiers.begin());
  return true;
}

job_state* start_queue::Next(int starts) {
  if (!has_tiers_) MakeTiers();
  bool same_group = false;
  if (current_) {
    current_->starts += starts;
    same_group = !DropEmptyGroup(*current_) && starts == 0;
    // The turn passes on when the job has started tasks, or when the pool has
    // no jobs of the same tier left.
    const bool same_turn = starts == 0 && !current_->tiers.empty() &&
                           current_->tiers.begin()->second.in_use;
    if (!same_turn) current_ = SelectPool();
  } else {
    current_ = SelectPool();
  }
  if (!current_) return nullptr;
  tier& first = FirstTier(*current_);
  if (!same_group) UpdateFront(first);
  team_group& group = *first.groups.front();
  prospect_ = group.rank.prospect;
  job_state* job = group.jobs.back().job;
  group.jobs.pop_back();
  return job;
}

}  // namespace radishwing::sched

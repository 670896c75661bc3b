#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/job_rank.h"
#include "src/sched/job_state.h"
#include "src/sched/team_shares.h"

namespace radishwing::sched {

/// The jobs of one scheduling pass, in the order in which they start tasks, for
/// a load that exceeds the room. Jobs with the best prospect come first. Then,
/// in each pool, the priority of the queue decides; then teams within their
/// share come before the others; then what a job has started is kept going
/// before another job starts. Teams within their share are not ordered among
/// each other, so that a short shortage does not delay a job that is due for
/// one with time left. Among the others, the lowest level comes first. Pools do
/// not compete for room, so they take turns: what limits the starts of all
/// pools together is divided evenly.
class start_queue {
 public:
  /// `short_pools` are the names of the pools whose shortage lasts. In the
  /// others, jobs that can be in time go by their latest start alone.
  start_queue(team_shares& shares, std::set<std::string> short_pools)
      : shares_(shares), short_pools_(std::move(short_pools)) {}

  /// Adds a job whose `account` is set. All jobs are added before the first
  /// call of Next.
  void Add(job_state& job, const job_rank& rank);

  /// Returns the next job, or null if there is none. `starts` is the number of
  /// tasks that the previous job started.
  job_state* Next(int starts);
  /// Returns the prospect of the job that Next returned last.
  job_prospect Prospect() const { return prospect_; }

 private:
  struct entry {
    millis order = 0;
    std::size_t number = 0;  ///< Position in the order of the calls of Add.
    job_state* job = nullptr;
  };
  /// Jobs of one team, prospect, priority and stage.
  struct team_group {
    share_account* account = nullptr;
    job_rank rank;  ///< Rank of the jobs; `order` is unused.
    /// Level of the team when last computed. Starts raise the level.
    double level = 0;
    bool has_level = false;   ///< If false, the level is 0.
    std::vector<entry> jobs;  ///< Sorted from the first use of the tier on.
  };
  /// Groups of one pool that compete for its room at the same time.
  struct tier {
    std::vector<team_group*> groups;  ///< A heap from its first use on.
    bool in_use = false;              ///< The tier has been used.
  };
  struct pool_line {
    std::vector<team_group*> groups;      ///< All groups.
    std::map<std::uint64_t, tier> tiers;  ///< By key, see TierKey.
    int starts = 0;  ///< Number of tasks that its jobs started in this pass.
  };

  /// Returns a number that orders the tiers of a pool.
  static std::uint64_t TierKey(const job_rank& rank, bool over_share);
  static bool HasObjective(const job_rank& rank);
  static bool HasHigherLevel(const team_group* a, const team_group* b);
  team_group& FindGroup(share_account& account, const job_rank& rank);
  /// Puts all groups into tiers.
  void MakeTiers();
  /// Computes the levels of all groups of a pool. Returns the mean by weight.
  double MeanLevel(pool_line& pool);
  /// Returns the pool whose turn it is, or null if no job is left.
  pool_line* SelectPool();
  /// Returns the first tier of the pool and prepares it for use.
  tier& FirstTier(pool_line& pool);
  /// Brings the group whose jobs come next to the front of the tier.
  void UpdateFront(tier& first);
  void ComputeLevel(team_group& group);
  /// Removes the first group of the pool if it has no jobs left, and the tier
  /// if it has no other group. Returns true if the group was removed.
  static bool DropEmptyGroup(pool_line& pool);

  team_shares& shares_;
  std::set<std::string> short_pools_;  ///< Names; see the constructor.
  std::size_t job_count_ = 0;
  std::deque<team_group> groups_;
  /// By number of the account, its groups.
  std::vector<std::vector<team_group*>> groups_by_account_;
  std::map<std::string, pool_line> pools_;  ///< By name.
  pool_line* current_ = nullptr;            ///< The pool of the previous job.
  job_prospect prospect_ = job_prospect::kLongRunning;  ///< See Prospect().
  bool has_tiers_ = false;  ///< MakeTiers was called.
};

}  // namespace radishwing::sched

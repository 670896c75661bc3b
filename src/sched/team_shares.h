#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/fleet_config.h"
#include "src/fleet/resources.h"
#include "src/sched/share_account.h"
#include "src/sched/share_report.h"

namespace radishwing::sched {

/// Keeps what each team uses of each pool, and tells which team is furthest
/// below its part. For a load that exceeds the room of a pool: one team that
/// sends many times its usual must not take the room of the others.
///
/// A team's share of a pool is its dominant share: the largest of its shares of
/// processor, memory and accelerators. The level of a team is its share, what
/// it holds now and what it held over the last few seconds, for each unit of
/// its weight. The team with the lowest level starts tasks first. Nothing is
/// reserved: room that a team leaves unused goes to the others at once.
class team_shares {
 public:
  /// Takes over the weights of the teams. A weight that is not a finite
  /// positive number counts as one that is far smaller than any other. A team
  /// that the configuration does not name has the mean weight of the others.
  void SetConfig(const fleet::fleet_config& config);

  /// Returns the account of a team in a pool. It exists as long as this object.
  share_account& Account(const std::string& pool, const std::string& team);

  /// Adds the needs of a run to what the team holds, or subtracts them if
  /// `sign` is negative.
  void AddRun(share_account& account, const fleet::resources& needs, int sign);
  /// Counts the needs of a run that an earlier leader started as held over the
  /// last few seconds, because that leader's record is lost.
  void AddPastUse(share_account& account, const fleet::resources& needs);
  /// Adds work for which this pass found no runner, in core-milliseconds.
  void AddWaiting(share_account& account, double core_ms);

  /// Begins a scheduling pass. `capacities` has the capacity of each pool.
  void BeginPass(millis now,
                 std::map<std::string, fleet::resources> capacities);
  /// Returns the level of a team at this time of the pass.
  double Level(share_account& account);

  /// Returns the shares of all teams that use or wait for a pool, by pool.
  std::vector<share_report> Report();

 private:
  /// Computes `recent_share` up to the time of the pass. Does nothing if the
  /// capacity of the pool is not known yet.
  void Update(share_account& account) const;
  double FindWeight(const std::string& team) const;
  /// Sets the due shares of the teams of one pool: the reports from `first` on.
  void SetDueShares(std::vector<share_report>& reports,
                    std::size_t first) const;

  std::map<std::pair<std::string, std::string>, std::unique_ptr<share_account>>
      accounts_;                           ///< By pool and team.
  std::map<std::string, double> weights_;  ///< By team name.
  double mean_weight_ = 1;
  std::map<std::string, fleet::resources> capacities_;  ///< By pool name.
  /// Accounts with work for which the current pass found no runner.
  std::vector<share_account*> waiting_;
  millis now_ = 0;  ///< Time of the current pass.
};

}  // namespace radishwing::sched

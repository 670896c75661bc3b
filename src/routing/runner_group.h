#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/routing/attempt_result.h"
#include "src/routing/runner_state.h"

namespace radishwing::routing {

/// The runners of one service, and the choice among them.
class runner_group {
 public:
  runner_group(std::string own_data_centre, std::uint64_t seed)
      : own_data_centre_(std::move(own_data_centre)), random_(seed) {}

  /// Takes the newest list of this service's runners. Runners that are gone
  /// get no new work and are kept while requests are in flight to them.
  /// `next_index` numbers new runners.
  void Apply(std::span<const runner_info> runners, std::uint32_t& next_index);

  /// Draws two runners that can take a request and returns the less loaded
  /// one. Another data centre is chosen only if the load here is higher by
  /// more than a factor of 2. Runners in `tried` are used only if no other
  /// is left. Returns nullptr if none can take it.
  runner_state* Pick(millis now, bool idempotent,
                     std::span<runner_state* const> tried);

  /// Notes a request sent to the runner. Returns true if it is a probe.
  bool Started(runner_state& runner);

  /// Notes the end of an attempt that Started returned `probe` for.
  void Finished(runner_state& runner, bool probe, attempt_result how,
                millis now);

  /// After a request that used `run_ms`, while others wait: now and then leaves
  /// its slot to the other entries for a moment. An entry that refills each
  /// slot at once would keep the others out for seconds. The larger its part
  /// of the slots, the more it leaves, so that the parts even out.
  void MaybeYield(runner_state& runner, millis run_ms, millis now);

  /// False if every slot is in use from here; Pick would return nullptr.
  bool MayHaveRoom() const { return in_flight_ < slots_; }

  std::uint32_t InFlight() const { return in_flight_; }
  std::uint32_t Slots() const { return slots_; }
  std::span<const std::unique_ptr<runner_state>> Runners() const {
    return runners_;
  }

  /// Removes runners that are gone and idle; returns their indexes.
  std::vector<std::uint32_t> RemoveGone();

 private:
  bool Eligible(const runner_state& runner, millis now, bool idempotent,
                std::span<runner_state* const> tried) const;
  runner_state* DrawTwo(std::span<runner_state* const> from, millis now,
                        bool idempotent, std::span<runner_state* const> tried);
  runner_state* PickFrom(millis now, bool idempotent,
                         std::span<runner_state* const> tried);
  void ApplyOne(const runner_info& info, std::uint32_t& next_index);
  bool MayEject() const;

  std::string own_data_centre_;
  std::minstd_rand random_;
  std::vector<std::unique_ptr<runner_state>> runners_;
  std::vector<runner_state*> near_;  ///< Same data centre, accepting work.
  std::vector<runner_state*> far_;
  std::uint32_t in_flight_ = 0;
  std::uint32_t slots_ = 0;
};

}  // namespace radishwing::routing

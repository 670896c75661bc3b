#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/routing/runner_group.h"

namespace radishwing::routing {

/// The runners that an entry may use, grouped by service.
class runner_table {
 public:
  /// `seed` makes the draws of the picker repeatable.
  runner_table(std::string own_data_centre, std::uint64_t seed)
      : own_data_centre_(std::move(own_data_centre)), seed_(seed) {}

  /// The group of a service, empty if it has no runners. Stays valid.
  runner_group& Group(std::string_view service);

  /// Takes the newest table.
  void Apply(std::span<const runner_info> runners);

  /// Removes runners that are gone and idle; returns their indexes.
  std::vector<std::uint32_t> RemoveGone();

  const std::map<std::string, std::unique_ptr<runner_group>, std::less<>>&
  Groups() const {
    return groups_;
  }

 private:
  std::string own_data_centre_;
  std::uint64_t seed_;
  std::uint32_t next_index_ = 0;
  std::map<std::string, std::unique_ptr<runner_group>, std::less<>> groups_;
};

}  // namespace radishwing::routing

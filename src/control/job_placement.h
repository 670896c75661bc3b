#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "src/control/platform_seam.h"
#include "src/jobs/job_record.h"
#include "src/placement/host_index.h"

namespace radishwing::control {

/// Chooses hosts for the tasks of jobs by src/placement. Tasks that other
/// controls started are not known here; the platform refuses a task that finds
/// no room, and another host is tried. One thread.
class job_placement {
 public:
  explicit job_placement(std::string data_centre)
      : data_centre_(std::move(data_centre)) {}

  void SetHosts(const std::vector<job_host>& hosts);

  /// A host of this data centre with room, none of `avoid`.
  std::optional<std::string> Choose(const jobs::job_record& job,
                                    std::span<const std::string> avoid);

  /// Gives back what tasks held that are not in `live`.
  void KeepOnly(const std::set<std::string>& live);

 private:
  struct reservation {
    std::string host;
    placement::resources amount;
  };

  void Release(const std::string& task);

  std::string data_centre_;
  placement::host_index index_;
  std::map<std::string, placement::placement_host, std::less<>> hosts_;
  std::map<std::string, reservation> reserved_;  // By task.
};

}  // namespace radishwing::control

#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "src/control/host_board.h"
#include "src/control/operator_hooks.h"
#include "src/control/planned_drain.h"
#include "src/maintenance/wave_planner.h"

namespace radishwing::control {

/// The waves of the settings: what each does next and what operators see of
/// it. Every control plans over all data centres from the same records; each
/// host duty starts only the drains of its own hosts. Used on the decide
/// thread.
class wave_board {
 public:
  explicit wave_board(host_board& board) : board_(board) {}

  /// Drains that the running waves want now.
  std::vector<planned_drain> Wanted();

  void ListWaves(json_completion completion);
  void ShowWave(const std::string& wave, json_completion completion);

  /// Hosts of a wave by progress.
  struct progress {
    std::uint32_t waiting = 0;
    std::uint32_t in_progress = 0;
    std::uint32_t done = 0;
    std::uint32_t unhealthy = 0;
    std::string note;  ///< What holds it.
  };
  progress Progress(const std::string& wave);

 private:
  maintenance::wave_view View(const std::string& wave);
  boost::json::object Show(const std::string& wave);

  host_board& board_;
};

}  // namespace radishwing::control

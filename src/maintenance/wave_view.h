#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "src/maintenance/host_record.h"
#include "src/maintenance/ledger_record.h"
#include "src/settings/wave_settings.h"

namespace radishwing::maintenance {

/// A host as a wave sees it.
struct wave_host {
  host_record record;
  bool healthy = true;  ///< False if it does not serve as it should.
};

/// A pool that a wave covers, or the spare pool.
struct wave_pool {
  ledger_record ledger;
  std::vector<wave_host> hosts;
  std::uint32_t wave_hosts_max = 4;
  bool spare = false;
  bool covered = true;  ///< False: only lends hosts.
};

/// Everything that a wave depends on. Its progress is kept in the host records
/// alone, so that any control can continue it.
struct wave_view {
  std::string wave;
  settings::wave_state state = settings::wave_state::kRunning;
  std::vector<wave_pool> pools;
  /// Hosts whose unhealthy return an operator has accepted to resume the wave.
  std::set<std::string, std::less<>> excused;
};

}  // namespace radishwing::maintenance

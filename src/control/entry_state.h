#pragma once

#include <capnp/capability.h>

#include <cstdint>
#include <vector>

#include "src/base/clock.h"
#include "src/rpc/entry_link.h"
#include "src/rpc/gate_server.h"

namespace radishwing::control {

/// What a control knows of one open session of its entry.
struct entry_state {
  rpc::hello who;
  millis last_report_ms = 0;
  /// The first report arrived: it states the tokens that the entry holds, and
  /// nothing else is served before it.
  bool stated = false;
  std::uint64_t settings_revision = 0;
  std::uint64_t table_version = 0;
  std::vector<rpc::host_in_flight> in_flight;
  std::vector<rpc::service_counters> counters;
  kj::Maybe<rpc::EntryCallback::Client> callback;
  rpc::connection_closer close;

  /// "<host>#<incarnation>", as claims name the entry.
  std::string Owner() const {
    return who.host + '#' + std::to_string(who.incarnation);
  }
};

}  // namespace radishwing::control

#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "src/control/change_signal.h"
#include "src/control/control_options.h"
#include "src/control/entry_handlers.h"
#include "src/control/entry_state.h"
#include "src/control/runner_table.h"
#include "src/control/settings_keeper.h"

namespace radishwing::control {

/// The sessions of the entry beside this control. There is one, or two for a
/// moment while a broken one is replaced. Used on the decide thread.
class entry_registry {
 public:
  entry_registry(kj::Timer& timer, clock now, const control_timing& timing,
                 settings_keeper& settings, runner_table& table);

  /// Hooks of the other duties; set once before the first session.
  entry_handlers handlers;

  /// How long this data centre cannot confirm its settings, in ms.
  std::function<millis()> cut_off_ms;

  /// Opens a session for an authenticated entry.
  rpc::EntrySession::Client Open(const rpc::hello& who,
                                 rpc::connection_closer close);

  /// Closes sessions without a report for `entry_silent_ms`.
  void Tick();

  /// Asks the entry `owner` to cancel a request; false if it has no session.
  kj::Promise<bool> Cancel(const std::string& owner,
                           const std::string& request_id,
                           const std::string& team);

  /// The settings revision in force at this host: the older one of the control
  /// and its entry. An entry whose session is broken counts with what it
  /// reported last until `entry_gone_ms` have passed.
  std::uint64_t RevisionInForce() const;

  /// The same for the sum of host epochs.
  std::uint64_t HostEpochsInForce() const;

  /// Requests in flight to `host` from this entry, and whether the entry works
  /// with a table of at least `version`.
  struct host_use {
    bool confirmed = false;
    std::uint32_t in_flight = 0;
  };
  host_use HostUse(const std::string& host, std::uint64_t version) const;

  std::size_t Sessions() const { return sessions_.size(); }
  const std::map<std::uint64_t, entry_state>& All() const { return sessions_; }

  /// Longest run time of any request, in ms; after it a lost entry is gone.
  millis entry_gone_ms = 60000;

 private:
  friend class entry_session;

  entry_state* Find(std::uint64_t id);
  void Close(std::uint64_t id);
  std::uint64_t LastTableVersion() const;

  kj::Timer& timer_;
  clock clock_;
  const control_timing& timing_;
  settings_keeper& settings_;
  runner_table& table_;
  change_signal changed_;
  millis started_ms_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, entry_state> sessions_;
  /// The last session that broke, while its entry may still work.
  entry_state lost_;
  millis lost_at_ms_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishwing::control

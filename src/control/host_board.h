#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/control/drain_confirmations.h"
#include "src/control/entry_registry.h"
#include "src/control/fleet_poller.h"
#include "src/control/host_need.h"
#include "src/control/order_record.h"
#include "src/control/peer_mesh.h"
#include "src/control/record_watch.h"
#include "src/control/settings_keeper.h"
#include "src/maintenance/ledger_record.h"

namespace radishwing::control {

/// What this control knows of hosts, ledgers, orders and confirmations. Changes
/// nothing. Used on the decide thread.
class host_board {
 public:
  host_board(kj::Timer& timer, clock now, const control_options& options,
             store_port& store, peer_mesh& mesh, settings_keeper& keeper,
             fleet_poller& poller, entry_registry& entries,
             const record_watch& roster);

  void Start();
  void Stop();

  /// Tasks of this control's jobs on a draining host; nothing while a task may
  /// still be started there.
  std::function<std::optional<std::uint32_t>(const std::string& host)> jobs_on;

  void OnDigest(const peer_digest& digest) { confirmations_.Take(digest); }

  /// Call before each round: notes since when states and silences last.
  void Track();

  /// True once everything that decisions need was read, and long enough after
  /// the start that other members are known.
  bool Complete() const;

  /// Facts of a host that has a record.
  std::optional<host_facts> Facts(const std::string& host);

  /// The ledger of a pool; null if there is none.
  const maintenance::ledger_record* Ledger(const std::string& pool);

  /// The last order to a host; nothing without one.
  std::optional<order_record> Order(const std::string& host) const;

  /// The whole record of a host; null without one.
  const maintenance::host_record* Record(const std::string& host) const;

  /// Members whose confirmation a drain needs.
  std::vector<std::string> Members() const;

  /// Members that have not confirmed the drain of `record` with nothing in
  /// flight.
  std::vector<std::string> Unconfirmed(const maintenance::host_record& record);

  /// Requests in flight to the host, as far as they are known here.
  std::uint32_t InFlight(const std::string& host);

  /// Requests and tasks that run on the host.
  std::uint32_t Running(const std::string& host) const;

  /// True if the host serves as it should.
  bool Healthy(const maintenance::host_record& record) const;

  /// Why the host does not advance, in words; empty if nothing is wanted.
  std::string Note(const std::string& host);

  fleet_poller& Poller() { return poller_; }
  settings_keeper& Keeper() { return keeper_; }
  record_watch& Ledgers() { return ledgers_; }
  record_watch& Orders() { return orders_; }
  const control_options& Options() const { return options_; }

 private:
  struct since {
    std::uint64_t epoch = 0;
    millis state_ms = 0;  ///< Since when this epoch is known.
    millis quiet_ms = 0;  ///< Since when nothing runs; 0: something does.
  };
  struct parsed_ledger {
    std::uint64_t version = 0;
    std::optional<maintenance::ledger_record> record;
  };

  std::vector<maintenance::drain_confirmation> Confirmations(
      const std::string& host);
  bool Quiet(const maintenance::host_record& record);
  std::string DrainNote(const maintenance::host_record& record);
  std::string OrderNote(const host_facts& facts, const order_record& order);

  clock clock_;
  const control_options& options_;
  peer_mesh& mesh_;
  settings_keeper& keeper_;
  fleet_poller& poller_;
  entry_registry& entries_;
  drain_confirmations confirmations_;
  millis started_ms_;
  std::map<std::string, since> since_;
  std::map<std::string, parsed_ledger> parsed_;
  record_watch ledgers_;
  record_watch orders_;
  const record_watch& roster_;
};

}  // namespace radishwing::control

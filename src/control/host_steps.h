#pragma once

#include <kj/async.h>

#include <functional>
#include <string>

#include "src/control/ledger_sync.h"
#include "src/control/store_port.h"
#include "src/maintenance/host_record.h"
#include "src/maintenance/ledger_record.h"

namespace radishwing::control {

/// The writes to host records and availability ledgers. Every write of a host
/// record names the epoch on which it was decided. No lost answer and no other
/// writer can leave a host counted as available that does not serve: a ledger
/// counts a host as available again only if it did not change since before the
/// write that made the host active. Used on the decide thread.
class host_steps {
 public:
  using change = std::function<result<maintenance::host_record>(
      const maintenance::host_record&)>;

  host_steps(store_port& store, std::string data_centre);

  /// Called with each record that is read or written.
  std::function<void(const stored_value&)> seen_host;
  std::function<void(const stored_value&)> seen_ledger;

  /// Writes the first record of a host.
  kj::Promise<result<done>> Create(const maintenance::host_record& record);

  /// Changes a record that is still at the epoch of `record`.
  kj::Promise<result<done>> Write(const maintenance::host_record& record,
                                  change next);

  /// Gets the grant of the ledger, then records the drain.
  kj::Promise<result<done>> Drain(const maintenance::host_record& record,
                                  const std::string& reason,
                                  const std::string& next_pool);

  /// Enters a failure in the ledger, then in the record.
  kj::Promise<result<done>> Fail(const maintenance::host_record& record);

  /// Makes the host active by `next`, then available in the ledger of its
  /// pool.
  kj::Promise<result<done>> Activate(const maintenance::host_record& record,
                                     change next);

  /// Brings the ledger of a pool in line with the records of this data centre.
  kj::Promise<result<done>> Sync(const std::string& pool, std::uint32_t floor);

  /// A change that only increments the epoch, so that writes decided before it
  /// fail.
  static result<maintenance::host_record> Touch(
      const maintenance::host_record& record);

  static std::string LedgerKey(const std::string& pool) {
    return "ledger/" + pool;
  }

 private:
  std::string HostKey(const std::string& host) const {
    return "host/" + data_centre_ + '/' + host;
  }
  kj::Promise<result<done>> SwapLedger(
      const std::string& pool, std::function<result<maintenance::ledger_record>(
                                   const maintenance::ledger_record&)>
                                   next);
  kj::Promise<result<done>> PutLedger(const stored_value& read,
                                      const maintenance::ledger_record& next);

  store_port& store_;
  std::string data_centre_;
};

}  // namespace radishwing::control

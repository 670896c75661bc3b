#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/membership/member_timing.h"
#include "src/metrics/metric_registry.h"

namespace radishwing::control {

/// Intervals and deadlines of a control process, in ms. Tests shorten them.
struct control_timing {
  membership::member_timing members;
  millis call_deadline_ms = 2000;   ///< For one call to another process.
  millis store_deadline_ms = 3000;  ///< For one call to the platform.
  /// For one write, with the reads that resolve a lost answer (6 s at most).
  millis put_deadline_ms = 7000;
  millis watch_wait_ms = 20000;  ///< Long poll of a watch.
  /// Time to live of a duty lease. The relay of settings moves to another
  /// control within this plus `lease_poll_ms`; the whole way has 9 s.
  millis lease_ttl_ms = 4000;
  millis lease_poll_ms = 1000;
  millis live_poll_ms = 1000;  ///< Runners must stop within 3 s of the list.
  millis hosts_poll_ms = 10000;
  millis snapshot_wait_ms = 5000;  ///< Long poll of an entry.
  /// A recovery of tokens that did not succeed is tried again after this.
  millis recovery_retry_ms = 10000;
  /// A member of the roster that failed is removed after this much silence.
  millis roster_grace_ms = 15000;
  /// Each team is recovered at least this often: a lost reply to a loan loses
  /// tokens that nobody reports.
  millis recovery_interval_ms = 600000;
  /// Longest time for which tokens may be in use at a silent host. 0: the
  /// longest run time of the team's services plus its cut-off grace.
  millis gone_bound_ms = 0;
  /// An entry session without a report for this long is broken.
  millis entry_silent_ms = 5000;
  /// Pause between two rounds of the host duty.
  millis duty_round_ms = 1000;
  /// A host that is missing from the live list for this long has failed; a
  /// failed one that is listed again for this long has recovered.
  millis host_absent_ms = 3000;
  /// A draining host must report nothing running for this long after the last
  /// confirmation: the live list lags by up to 3 s.
  millis drain_settle_ms = 4000;
  /// A reboot that is not seen after this is ordered again. The control that
  /// ordered it first may have died before it sent the order.
  millis reboot_retry_ms = 60000;
  /// How often jobs are read again. Twice this after its start a control has
  /// taken over the jobs of its predecessor, and confirms drains.
  millis job_refresh_ms = 10000;
  /// Without contact to the store or another data centre for this long, the
  /// data centre counts as cut off.
  millis cut_off_after_ms = 5000;
};

/// What a control process is started with.
struct control_options {
  std::string host;
  std::string data_centre;
  std::uint64_t incarnation = 0;  ///< Start time in ms since the Unix epoch.
  std::string rpc_address = "127.0.0.1:0";
  /// What others connect to; empty: the address that was bound. Differs if the
  /// process listens at all addresses of its host.
  std::string advertised_address;
  std::string fleet_secret;
  std::vector<std::string> peers;  ///< Controls to contact first.
  control_timing timing;
  /// Gets the metrics, and must outlive the process; null: none.
  metrics::metric_registry* registry = nullptr;
};

}  // namespace radishwing::control

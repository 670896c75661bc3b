#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/requests/claim.h"
#include "src/routing/runner_info.h"
#include "src/settings/fleet_settings.h"

namespace radishwing::rpc {

/// What an entry works from: the newest settings and runners that its control
/// process knows.
struct snapshot {
  std::shared_ptr<const settings::fleet_settings> settings;
  std::uint64_t table_version = 0;
  std::vector<routing::runner_info> runners;
  /// How long the data centre has been unable to confirm its settings, in ms;
  /// 0 while it can.
  millis cut_off_ms = 0;
};

/// Tokens of one team's upper limit in one epoch.
struct token_grant {
  std::string team;
  std::uint32_t count = 0;
  std::uint64_t epoch = 0;
};

/// Use of one pool by one team since the previous report.
struct team_usage {
  std::string team;
  std::string pool;
  std::uint64_t slot_ms = 0;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
};

/// Requests in flight to one host now.
struct host_in_flight {
  std::string host;
  std::uint32_t count = 0;
};

/// Totals since the entry started, for the burn report.
struct service_counters {
  std::string service;
  std::string team;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t late = 0;
};

/// What an entry tells its control process every second and after applying a
/// snapshot.
struct entry_report {
  std::uint64_t settings_revision = 0;
  std::uint64_t table_version = 0;
  std::vector<team_usage> usage;
  std::vector<host_in_flight> in_flight;
  std::vector<token_grant> held_tokens;
  std::vector<service_counters> counters;
};

/// Work on a job on behalf of a caller.
enum class job_verb { kSubmit, kState, kCancel, kResult };

struct job_request {
  job_verb verb = job_verb::kState;
  std::string service;
  std::string team;
  std::string job_id;
  bool idempotent = false;
  std::string body;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  std::uint32_t longest_run_seconds = 0;
};

struct job_answer {
  std::uint16_t status = 503;  ///< HTTP status for the caller.
  std::string reason;          ///< Stable reason code; empty on success.
  std::string body;
};

/// Hooks that the link calls on its own thread, named `link`.
struct entry_link_hooks {
  /// A newer snapshot. Replaces the previous one.
  std::function<void(snapshot)> on_snapshot;
  /// The session with the control process opened (true) or broke (false).
  std::function<void(bool)> on_connected;
  /// The control process replied to a report that was sent at `sent_at`, by
  /// the monotonic clock. A reply may lie unread while the process is paused,
  /// so only the time of sending says when the control was there at least.
  std::function<void(millis sent_at)> on_contact;
  /// Fills the next report.
  std::function<entry_report()> make_report;
  /// The control process asks to cancel a request that this entry may run.
  std::function<void(std::string_view request_id, std::string_view team)>
      on_cancel;
};

struct entry_link_options {
  std::string host;
  std::string data_centre;
  std::uint64_t incarnation = 0;
  std::string control_address;  ///< "ip:port" of the control on this host.
  std::string fleet_secret;
  millis call_deadline_ms = 2000;
  millis report_interval_ms = 1000;
  millis reconnect_ms = 200;
};

/// The entry's session with the control process beside it. Owns a KJ thread;
/// reconnects by itself. Every method may be called from any thread and never
/// blocks; its completion runs on the link thread. While there is no session,
/// or the bounded ring towards the link thread is full, completions get
/// failure_kind::kUnavailable or kFull.
class entry_link {
 public:
  static result<std::unique_ptr<entry_link>> Make(entry_link_options options,
                                                  entry_link_hooks hooks);
  ~entry_link();
  entry_link(const entry_link&) = delete;
  entry_link& operator=(const entry_link&) = delete;

  /// Asks for up to `want` tokens. May be granted fewer, down to 0.
  void AcquireTokens(std::string_view team, std::uint32_t want,
                     std::function<void(result<token_grant>)> completion);

  /// Gives idle tokens back.
  void ReturnTokens(token_grant tokens);

  /// Claims an identifier before a non-idempotent request runs.
  void Claim(requests::claim claim,
             std::function<void(result<requests::claim_answer>)> completion);

  /// Records how the claimed request ended.
  void Finish(std::string_view request_id, std::string_view owner,
              requests::outcome outcome, std::uint16_t status);

  /// Submits, reads, cancels or fetches a job.
  void Job(job_request request,
           std::function<void(result<job_answer>)> completion);

  /// Cancels a request that may run at any entry of the fleet.
  void CancelRequest(std::string_view request_id, std::string_view team,
                     std::function<void(result<bool>)> completion);

  /// Sends a report soon, without waiting for the interval.
  void ReportNow();

 private:
  struct impl;
  explicit entry_link(std::unique_ptr<impl> impl);
  std::unique_ptr<impl> impl_;
};

}  // namespace radishwing::rpc

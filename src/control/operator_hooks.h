#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "src/base/log.h"
#include "src/base/result.h"
#include "src/settings/fleet_settings.h"

namespace radishwing::control {

/// One accepted revision of the settings.
struct settings_revision {
  std::uint64_t revision = 0;
  std::string change_id;
  std::string author;
  std::string text;
};

/// A change that an operator proposes. The text has no findings.
struct settings_proposal {
  std::uint64_t base_revision = 0;
  std::string change_id;
  std::string author;
  std::string text;
  settings::fleet_settings parsed;
};

/// The settings are no longer at the base revision; nothing was written.
struct settings_conflict {
  settings_revision current;
};

/// Outcome of a proposal: the new revision, or a conflict.
using proposal_outcome = std::variant<std::uint64_t, settings_conflict>;

/// What one member has confirmed.
struct member_confirmation {
  std::string host;
  std::uint64_t revision = 0;
  std::uint64_t silent_ms = 0;  ///< Time since the member was last heard.
};

/// An order to a host by an operator.
struct host_order {
  enum class verb { kDrain, kReturn, kMove };
  std::string host;
  verb action = verb::kDrain;
  std::string pool;  ///< Only for kMove.
  std::string change_id;
};

/// What `explain` is asked about.
struct explain_subject {
  enum class kind { kRequest, kHost, kTeam };
  kind what = kind::kRequest;
  std::string name;
};

/// Called once, from any thread.
template <typename T>
using operator_completion = std::function<void(result<T>)>;

using json_completion = operator_completion<boost::json::value>;

/// What the operator port shows and starts. Every hook runs on the port's
/// thread and must not block; its completion may be called at once or later,
/// from any thread. A hook that is not set answers 503.
///
/// Failures become statuses: kInvalid 400, kDenied 403, kNotFound 404,
/// kConflict 409, kUnavailable and kFull 503 (nothing was done), kTimeout 504
/// (the effect is unknown), kInternal 500.
struct operator_hooks {
  /// Object with `host`, `data_centre`, `revision` and so on, and `members`:
  /// list of `host`, `data_centre`, `state`, `revision`, `table_version`,
  /// `silent_ms`.
  std::function<void(json_completion)> status;

  /// The newest settings known.
  std::function<void(operator_completion<settings_revision>)> get_settings;
  /// Writes the settings if they are still at the base revision. The new
  /// revision must be the base revision + 1: radishwingctl concludes from
  /// another change with that number that its own was not applied. A proposal
  /// whose change id has been applied already completes with that revision.
  std::function<void(settings_proposal, operator_completion<proposal_outcome>)>
      apply_settings;
  /// The last revisions, newest first, without their texts.
  std::function<void(operator_completion<std::vector<settings_revision>>)>
      settings_history;
  /// One revision with its text.
  std::function<void(std::uint64_t, operator_completion<settings_revision>)>
      settings_at;
  std::function<void(std::uint64_t,
                     operator_completion<std::vector<member_confirmation>>)>
      confirmations;

  /// List of objects `pool`, `hosts`, `available`, `floor_hosts`,
  /// `target_hosts`, `unavailable` (object of host to reason), `spare`,
  /// `rack_in_wave`.
  std::function<void(json_completion)> list_pools;
  std::function<void(std::string, json_completion)> show_pool;

  /// List of objects `host`, `pool`, `data_centre`, `rack`, `state`, `epoch`,
  /// `in_flight`, `change_id`, `operator_change_id` (that of the last order of
  /// an operator; it stays when the state changes further), `note`.
  std::function<void(json_completion)> list_hosts;
  std::function<void(std::string, json_completion)> show_host;
  /// Completes with the host's object once the order is recorded.
  std::function<void(host_order, json_completion)> order_host;

  /// List of objects `wave`, `kind`, `state`, `waiting`, `in_progress`,
  /// `done`, `unhealthy`, `note`.
  std::function<void(json_completion)> list_waves;
  std::function<void(std::string, json_completion)> show_wave;

  /// List of objects `id`, `service`, `team`, `state`, `host`, `note`.
  std::function<void(json_completion)> list_jobs;
  std::function<void(std::string, json_completion)> show_job;
  std::function<void(std::string, json_completion)> cancel_job;

  /// Object with `reasons`: list of sentences.
  std::function<void(explain_subject, json_completion)> explain;

  std::function<void(log_level)> set_log_level;
};

}  // namespace radishwing::control

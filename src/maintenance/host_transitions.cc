#include "src/maintenance/host_transitions.h"

#include <algorithm>

namespace radishwing::maintenance {
namespace {

failure Conflict(const host_record& record, std::string_view text) {
  return {failure_kind::kConflict,
          "host \"" + record.host + "\" is " +
              std::string(HostStateName(record.state)) + ", " +
              std::string(text)};
}

host_record Next(const host_record& record, host_state state,
                 std::string_view change_id) {
  host_record next = record;
  next.state = state;
  next.change_id = change_id;
  ++next.epoch;
  return next;
}

}  // namespace

result<host_record> BeginDrain(const host_record& record,
                               std::string_view reason,
                               std::string_view next_pool,
                               std::string_view change_id) {
  if (record.state != host_state::kActive) {
    return Conflict(record, "only an active host can be drained");
  }
  host_record next = Next(record, host_state::kDraining, change_id);
  next.reason = reason;
  next.next_pool = next_pool;
  return next;
}

result<host_record> FenceHost(const host_record& record,
                              std::string_view change_id) {
  if (record.state != host_state::kActive) {
    return Conflict(record, "only an active host is fenced");
  }
  return Next(record, host_state::kActive, change_id);
}

result<host_record> CancelDrain(const host_record& record,
                                std::string_view change_id) {
  if (record.state != host_state::kDraining &&
      record.state != host_state::kEmpty) {
    return Conflict(record, "there is no drain to cancel");
  }
  host_record next = Next(record, host_state::kActive, change_id);
  next.reason.clear();
  next.next_pool.clear();
  return next;
}

bool DrainComplete(const host_record& record,
                   std::span<const std::string> members,
                   std::span<const drain_confirmation> confirmations,
                   std::uint32_t running) {
  if (record.state != host_state::kDraining || running > 0) return false;
  return std::all_of(
      members.begin(), members.end(), [&](const std::string& member) {
        return std::any_of(confirmations.begin(), confirmations.end(),
                           [&](const drain_confirmation& c) {
                             return c.member == member &&
                                    c.epoch >= record.epoch && c.in_flight == 0;
                           });
      });
}

result<host_record> MarkEmpty(const host_record& record,
                              std::string_view change_id) {
  if (record.state != host_state::kDraining) {
    return Conflict(record, "only a draining host becomes empty");
  }
  return Next(record, host_state::kEmpty, change_id);
}

result<host_record> BeginMaintenance(const host_record& record,
                                     std::string_view change_id) {
  if (record.state != host_state::kEmpty) {
    return Conflict(record, "maintenance needs an empty host");
  }
  return Next(record, host_state::kMaintenance, change_id);
}

result<host_record> ReturnHost(const host_record& record,
                               std::string_view completed_wave,
                               std::string_view change_id) {
  if (record.state == host_state::kActive ||
      record.state == host_state::kDraining) {
    return Conflict(record, "it has not stopped");
  }
  // A host that failed while draining may still run work for its old pool.
  const bool moves =
      !record.next_pool.empty() && record.state != host_state::kFailed;
  host_record next = Next(record, host_state::kActive, change_id);
  if (moves) {
    next.home_pool = record.reason == kLendReason ? record.pool : "";
    next.pool = record.next_pool;
  }
  if (!completed_wave.empty()) next.maintained_by = completed_wave;
  next.reason.clear();
  next.next_pool.clear();
  return next;
}

result<host_record> MarkFailed(const host_record& record,
                               std::string_view change_id) {
  if (record.state == host_state::kFailed) {
    return Conflict(record, "it is already recorded");
  }
  return Next(record, host_state::kFailed, change_id);
}

}  // namespace radishwing::maintenance

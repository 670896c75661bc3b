#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "src/entry/service_state.h"
#include "src/entry/team_state.h"
#include "src/fairness/queue_item.h"

namespace radishwing::entry {

/// Where a request is on its way.
enum class request_phase {
  kNone,
  kBody,       ///< Its body is being read.
  kClaim,      ///< Its claim was sent.
  kClaimWait,  ///< Another request with its identifier runs.
  kJob,        ///< The control process works on it.
  kQueued,
  kConnecting,
  kWaiting,    ///< Sent, or being sent; no response header yet.
  kStreaming,  ///< The response is being passed on.
};

/// What an entry knows of one request.
struct request_state {
  request_phase phase = request_phase::kNone;
  std::uint64_t sequence = 0;  ///< Unique; tells late completions apart.
  std::string id;
  bool own_id = false;  ///< The caller gave the identifier.
  bool idempotent = false;
  bool first_attempt = false;
  bool claimed = false;
  std::string claim_owner;  ///< Of the last claim sent.
  bool waited = false;      ///< Its claim was running elsewhere.
  service_state* service = nullptr;
  team_state* team = nullptr;
  std::uint32_t key_number = 0;
  pool_state* pool = nullptr;
  fairness::work_class cls = fairness::work_class::kInteractive;
  std::string_view user;       ///< Points into the parsed header.
  std::string_view workspace;  ///< Likewise.
  fairness::ticket ticket = 0;
  millis received_at = 0;
  millis queued_at = 0;
  millis deadline_at = 0;
  millis claim_again_at = 0;
  std::uint32_t attempts = 0;
  bool maybe_run = false;  ///< An attempt may have run it.
  std::vector<routing::runner_state*> tried;
};

}  // namespace radishwing::entry

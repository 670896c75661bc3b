#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "src/rpc/entry_link.h"

namespace radishwing::entry {

/// What the serve thread asks of the link to the control process. Every hook
/// returns at once; a completion may run on any thread. Tests answer the hooks
/// themselves.
struct link_port {
  std::function<void(std::string_view team, std::uint32_t want,
                     std::function<void(result<rpc::token_grant>)>)>
      acquire_tokens;
  std::function<void(rpc::token_grant)> return_tokens;
  std::function<void(requests::claim,
                     std::function<void(result<requests::claim_answer>)>)>
      claim;
  std::function<void(std::string_view request_id, std::string_view owner,
                     requests::outcome outcome, std::uint16_t status)>
      finish;
  std::function<void(rpc::job_request,
                     std::function<void(result<rpc::job_answer>)>)>
      job;
  std::function<void(std::string_view request_id, std::string_view team,
                     std::function<void(result<bool>)>)>
      cancel_request;
  std::function<void()> report_now;
};

/// A port that calls `link`, which must be set before its first call and
/// outlive the last one.
link_port PortOf(const std::unique_ptr<rpc::entry_link>& link);

}  // namespace radishwing::entry

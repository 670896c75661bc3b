#include "src/entry/link_port.h"

namespace radishwing::entry {

link_port PortOf(const std::unique_ptr<rpc::entry_link>& link) {
  link_port port;
  port.acquire_tokens = [&link](std::string_view team, std::uint32_t want,
                                auto completion) {
    link->AcquireTokens(team, want, std::move(completion));
  };
  port.return_tokens = [&link](rpc::token_grant tokens) {
    link->ReturnTokens(std::move(tokens));
  };
  port.claim = [&link](requests::claim claim, auto completion) {
    link->Claim(std::move(claim), std::move(completion));
  };
  port.finish = [&link](std::string_view id, std::string_view owner,
                        requests::outcome outcome, std::uint16_t status) {
    link->Finish(id, owner, outcome, status);
  };
  port.job = [&link](rpc::job_request request, auto completion) {
    link->Job(std::move(request), std::move(completion));
  };
  port.cancel_request = [&link](std::string_view id, std::string_view team,
                                auto completion) {
    link->CancelRequest(id, team, std::move(completion));
  };
  port.report_now = [&link] { link->ReportNow(); };
  return port;
}

}  // namespace radishwing::entry

#include <algorithm>
#include <utility>

#include "src/base/log.h"
#include "src/rpc/call_failure.h"
#include "src/rpc/convert.h"
#include "src/rpc/entry_session_client.h"
#include "src/rpc/settings_text.h"

namespace radishwing::rpc {

void entry_session_client::ApplySnapshot(
    EntrySession::NextSnapshotResults::Reader reply) {
  last_contact_ = clock_.Now();
  cut_off_at_contact_ = static_cast<millis>(reply.getCutOffMillis());
  bool changed = cut_off_at_contact_ != current_.cut_off_ms;
  current_.cut_off_ms = cut_off_at_contact_;
  std::uint64_t known = current_.settings ? current_.settings->revision : 0;
  settings_text text = Read(reply.getSettings());
  if (text.revision > known && !text.text.empty()) {
    auto parsed = ParseSettingsText(text.revision, text.text);
    if (Ok(parsed)) {
      current_.settings = Value(parsed);
      changed = true;
    } else {
      LogError("link",
               "settings refused, revision=" + std::to_string(text.revision) +
                   " reason=" + Error(parsed).message);
    }
  }
  auto table = reply.getTable();
  if (table.getVersion() != 0 && table.getVersion() != asked_table_) {
    asked_table_ = table.getVersion();
    current_.table_version = asked_table_;
    current_.runners = ReadList<routing::runner_info>(table.getRunners());
    changed = true;
  }
  if (changed && current_.settings && hooks_.on_snapshot) {
    hooks_.on_snapshot(current_);
  }
}

void entry_session_client::DeliverWhileCutOff() {
  // Without its control an entry cannot learn of newer settings either.
  millis now = clock_.Now();
  bool due =
      now - last_contact_ >= 5000 && now - last_cut_off_delivery_ >= 5000;
  if (!due || !current_.settings || !hooks_.on_snapshot) return;
  last_cut_off_delivery_ = now;
  current_.cut_off_ms = cut_off_at_contact_ + (now - last_contact_);
  hooks_.on_snapshot(current_);
}

template <typename T, typename Request, typename Reader>
void entry_session_client::Call(Request request, completion<T> done,
                                Reader read) {
  tasks_.add(
      timer_
          .timeoutAfter(options_.call_deadline_ms * kj::MILLISECONDS,
                        request.send())
          .then([done, read](auto&& reply) { done(read(reply)); },
                [done](kj::Exception&& reason) { done(CallFailure(reason)); }));
}

void entry_session_client::AcquireTokens(const std::string& team,
                                         std::uint32_t want,
                                         completion<token_grant> done) {
  if (session_.get() == nullptr) return;
  auto request = session_->session.acquireTokensRequest();
  request.setTeam(ToText(team));
  request.setWant(want);
  // A grant whose answer is lost would stay counted as held here by the
  // control. A new session states what this entry really holds.
  auto watched =
      completion<token_grant>([this, done](result<token_grant> answer) {
        if (Ok(answer)) {
          tokens_.Granted(Value(answer));
        } else {
          BreakSession("no answer to a request for tokens");
        }
        done(std::move(answer));
      });
  Call<token_grant>(std::move(request), watched, [](auto& reply) {
    return result<token_grant>(Read(reply.getGranted()));
  });
}

void entry_session_client::ReturnTokens(const token_grant& tokens) {
  token_grant returned = tokens_.Returned(tokens);
  if (returned.count == 0 || session_.get() == nullptr) return;
  auto request = session_->session.returnTokensRequest();
  Write(returned, request.initTokens());
  Call<radishwing::done>(
      std::move(request),
      completion<radishwing::done>([this](result<radishwing::done> answer) {
        if (!Ok(answer)) BreakSession("tokens not returned");
      }),
      [](auto&) { return result<radishwing::done>(radishwing::done()); });
}

void entry_session_client::Claim(const requests::claim& claim,
                                 completion<requests::claim_answer> done) {
  if (session_.get() == nullptr) return;
  auto request = session_->session.claimRequest();
  Write(claim, request.initClaim());
  Call<requests::claim_answer>(std::move(request), done, [](auto& reply) {
    return result<requests::claim_answer>(Read(reply.getAnswer()));
  });
}

void entry_session_client::Finish(const std::string& request_id,
                                  const std::string& owner,
                                  requests::outcome outcome,
                                  std::uint16_t status) {
  if (session_.get() == nullptr) return;
  auto request = session_->session.finishRequest();
  request.setRequestId(ToText(request_id));
  request.setOwner(ToText(owner));
  request.setOutcome(Write(outcome));
  request.setStatus(status);
  Call<radishwing::done>(
      std::move(request),
      completion<radishwing::done>([](result<radishwing::done>) {}),
      [](auto&) { return result<radishwing::done>(radishwing::done()); });
}

void entry_session_client::Job(const job_request& job,
                               completion<job_answer> done) {
  if (session_.get() == nullptr) return;
  auto request = session_->session.jobRequest();
  Write(job, request.initRequest());
  Call<job_answer>(std::move(request), done, [](auto& reply) {
    return result<job_answer>(Read(reply.getAnswer()));
  });
}

void entry_session_client::CancelRequest(const std::string& request_id,
                                         const std::string& team,
                                         completion<bool> done) {
  if (session_.get() == nullptr) return;
  auto request = session_->session.cancelRequestRequest();
  request.setRequestId(ToText(request_id));
  request.setTeam(ToText(team));
  Call<bool>(std::move(request), done,
             [](auto& reply) { return result<bool>(reply.getFound()); });
}

void entry_session_client::ReportNow() {
  report_wanted_ = true;
  if (report_now_.get() == nullptr || !report_now_->isWaiting()) return;
  report_wanted_ = false;
  report_now_->fulfill();
}

}  // namespace radishwing::rpc

#include "src/rpc/entry_link.h"

#include <map>
#include <mutex>
#include <utility>

#include "src/rpc/entry_session_client.h"
#include "src/rpc/event_thread.h"

namespace radishwing::rpc {
namespace {

// Operations that may wait for the link thread. At 20,000 requests/s this is
// about 200 ms of work.
constexpr std::size_t kLinkRing = 4096;

}  // namespace

struct entry_link::impl {
  impl(entry_link_options options, entry_link_hooks hooks)
      : thread("link", kLinkRing,
               [this, options = std::move(options),
                hooks = std::move(hooks)](kj::AsyncIoContext& io) {
                 auto made =
                     std::make_shared<entry_session_client>(io, options, hooks);
                 client = made.get();
                 return std::static_pointer_cast<void>(made);
               }) {}

  template <typename T, typename Operation>
  void Post(std::function<void(result<T>)> call, Operation operation) {
    completion<T> done(std::move(call));
    bool posted = thread.Post([this, done, operation = std::move(operation)] {
      operation(*client, done);
    });
    if (!posted) {
      done(failure{failure_kind::kFull, "the link thread is overloaded"});
    }
  }

  // Tokens to return are kept by team until the link thread takes them: if
  // they were dropped when the ring is full, nobody could use them again.
  void DrainReturns() {
    std::map<std::string, token_grant, std::less<>> taken;
    {
      std::lock_guard<std::mutex> lock(mutex);
      taken.swap(returns);
    }
    for (const auto& [team, tokens] : taken) client->ReturnTokens(tokens);
  }

  std::mutex mutex;
  std::map<std::string, token_grant, std::less<>> returns;
  entry_session_client* client = nullptr;  // Only used on the link thread.
  event_thread thread;  // Last: its destruction ends all use of the others.
};

result<std::unique_ptr<entry_link>> entry_link::Make(entry_link_options options,
                                                     entry_link_hooks hooks) {
  if (options.fleet_secret.empty()) {
    return failure{failure_kind::kInvalid, "the fleet secret is empty"};
  }
  auto made = std::make_unique<impl>(std::move(options), std::move(hooks));
  return std::unique_ptr<entry_link>(new entry_link(std::move(made)));
}

entry_link::entry_link(std::unique_ptr<impl> impl) : impl_(std::move(impl)) {}

entry_link::~entry_link() = default;

void entry_link::AcquireTokens(
    std::string_view team, std::uint32_t want,
    std::function<void(result<token_grant>)> completion) {
  impl_->Post<token_grant>(
      std::move(completion),
      [team = std::string(team), want](auto& client, auto& done) {
        client.AcquireTokens(team, want, done);
      });
}

void entry_link::ReturnTokens(token_grant tokens) {
  {
    std::lock_guard<std::mutex> lock(impl_->mutex);
    token_grant& waiting = impl_->returns[tokens.team];
    waiting.team = tokens.team;
    waiting.count += tokens.count;
    waiting.epoch = tokens.epoch;
  }
  impl_->thread.Post([impl = impl_.get()] { impl->DrainReturns(); });
}

void entry_link::Claim(
    requests::claim claim,
    std::function<void(result<requests::claim_answer>)> completion) {
  impl_->Post<requests::claim_answer>(
      std::move(completion),
      [claim = std::move(claim)](auto& client, auto& done) {
        client.Claim(claim, done);
      });
}

void entry_link::Finish(std::string_view request_id, std::string_view owner,
                        requests::outcome outcome, std::uint16_t status) {
  // If the ring is full the claim stays `running`, and repeats get unknown.
  impl_->thread.Post([impl = impl_.get(), request_id = std::string(request_id),
                      owner = std::string(owner), outcome, status] {
    impl->client->Finish(request_id, owner, outcome, status);
  });
}

void entry_link::Job(job_request request,
                     std::function<void(result<job_answer>)> completion) {
  impl_->Post<job_answer>(std::move(completion), [request = std::move(request)](
                                                     auto& client, auto& done) {
    client.Job(request, done);
  });
}

void entry_link::CancelRequest(std::string_view request_id,
                               std::string_view team,
                               std::function<void(result<bool>)> completion) {
  impl_->Post<bool>(std::move(completion),
                    [request_id = std::string(request_id),
                     team = std::string(team)](auto& client, auto& done) {
                      client.CancelRequest(request_id, team, done);
                    });
}

void entry_link::ReportNow() {
  impl_->thread.Post([impl = impl_.get()] {
    impl->DrainReturns();
    impl->client->ReportNow();
  });
}

}  // namespace radishwing::rpc

#include "src/node/admission_control.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "src/http/target.h"
#include "src/sched/backlog_codec.h"

namespace radishwing::node {
namespace {

// Time limit of a request for the summary.
constexpr millis kPollTimeoutMs = 400;
// Least time between two requests.
constexpr millis kPollIntervalMs = 300;

}  // namespace

struct admission_control::impl
    : std::enable_shared_from_this<admission_control::impl> {
  impl(node_context& context, peer_client& peers,
       std::function<leader*()> local_leader)
      : context(context), peers(peers), local_leader(std::move(local_leader)) {}

  std::string KnownSummary() const {
    return "node=" + http::PercentEncodeQueryValue(context.settings.name) +
           "&fence=" + std::to_string(policy.FencingToken()) +
           "&sequence=" + std::to_string(policy.Sequence());
  }
  /// Asks the leader for its summary if the current one is getting old, and
  /// reports refused work.
  void Refresh();
  void PollLeader(const std::string& address);
  void ApplyResponse(const std::string& body);

  node_context& context;
  peer_client& peers;
  std::function<leader*()> local_leader;
  sched::admission_policy policy;
  std::uint64_t leader_revision = 0;  ///< Store revision seen by the leader.
  bool poll_in_flight = false;
  millis polled_at = -kPollIntervalMs;  ///< Time of the last request.
  bool damage_logged = false;
};

void admission_control::impl::Refresh() {
  const millis now = context.now.Now();
  if (leader* local = local_leader()) {
    if (!local->Ready()) return policy.RecordFailedContact(now);
    const std::string refused =
        sched::EncodeRefusedWork(policy.TakeRefusedWork());
    return ApplyResponse(local->BacklogResponse(context.settings.name,
                                                policy.FencingToken(),
                                                policy.Sequence(), refused));
  }
  const bool is_due = policy.HasRefusedWork() || policy.NeedsSummary(now);
  if (!is_due || poll_in_flight || now - polled_at < kPollIntervalMs) return;
  const std::string& address = context.members.Leader().address;
  if (address.empty()) return policy.RecordFailedContact(now);
  polled_at = now;
  PollLeader(address);
}

void admission_control::impl::PollLeader(const std::string& address) {
  poll_in_flight = true;
  std::vector<sched::returning_work> refused = policy.TakeRefusedWork();
  std::string body = sched::EncodeRefusedWork(refused);
  peers.Call(address, "/peer/backlog?" + KnownSummary(), std::move(body),
             kPollTimeoutMs,
             [weak = weak_from_this(), refused = std::move(refused)](
                 const result<std::string>& response) {
               const auto self = weak.lock();
               if (!self) return;
               self->poll_in_flight = false;
               if (Ok(response)) return self->ApplyResponse(Value(response));
               self->policy.RecordFailedContact(self->context.now.Now());
               for (const sched::returning_work& work : refused) {
                 self->policy.AddRefusedWork(work);
               }
             });
}

void admission_control::impl::ApplyResponse(const std::string& body) {
  const millis now = context.now.Now();
  if (body.empty() || body == kUnchangedBacklog) return policy.RecordContact();
  auto decoded = sched::DecodeBacklog(body);
  if (!Ok(decoded)) {
    // One line is enough: the next good summary replaces a damaged one.
    if (!std::exchange(damage_logged, true)) {
      context.log.Warning("admission",
                          "summary ignored, error=" + Error(decoded).message);
    }
    return;
  }
  leader_revision = std::max(leader_revision, Value(decoded).store_revision);
  policy.ApplySummary(std::move(Value(decoded)), now);
}

admission_control::admission_control(node_context& context, peer_client& peers,
                                     std::function<leader*()> local_leader)
    : impl_(std::make_shared<impl>(context, peers, std::move(local_leader))) {}

admission_control::~admission_control() = default;

sched::admission_decision admission_control::Decide(
    const fleet::job_record& job, bool returning) {
  impl_->Refresh();
  const fleet::team_config* team =
      impl_->context.config ? impl_->context.config->FindTeam(job.team)
                            : nullptr;
  return impl_->policy.Decide(job, team ? team->weight : 1, returning,
                              impl_->context.now.Now());
}

void admission_control::RecordAccepted(const fleet::job_record& job) {
  impl_->policy.RecordAccepted(job, impl_->context.now.Now());
}

void admission_control::RecordRefused(
    const fleet::job_record& job, const sched::admission_decision& decision) {
  impl_->policy.RecordRefused(job, decision);
}

std::string admission_control::KnownSummary() const {
  return impl_->KnownSummary();
}

void admission_control::ApplyResponse(const std::string& body) {
  impl_->ApplyResponse(body);
}

void admission_control::RecordFailedContact() {
  impl_->policy.RecordFailedContact(impl_->context.now.Now());
}

std::size_t admission_control::NodeCount() const {
  return impl_->policy.NodeCount();
}

std::uint64_t admission_control::SeenRevision() const {
  return std::max(impl_->leader_revision, impl_->context.store->SeenRevision());
}

}  // namespace radishwing::node

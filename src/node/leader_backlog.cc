#include "src/node/leader_impl.h"
#include "src/sched/backlog_codec.h"

// The backlog summary that the leader passes to the other nodes.

namespace radishwing::node {
namespace {

// Time from the end of a host's move until its runner accepts tasks.
constexpr millis kRunnerStartMs = 400;

// Age up to which a summary is passed on. Each new one is sent to all nodes
// that take submissions, so there are fewer while the link is congested.
constexpr millis kMaxAgeMs = 200;
constexpr millis kCongestedMaxAgeMs = 800;

}  // namespace

sched::backlog_summary leader::impl::ComputeBacklog() const {
  sched::backlog_summary summary = scheduler.BacklogByPool(context.now.Now());
  summary.fencing_token = fencing_token;
  summary.store_revision = context.store->SeenRevision();
  if (!summary.pools.empty()) {
    sched::AddArrivingHosts(hosts->Hosts(),
                            context.settings.move_ms + kRunnerStartMs, summary);
  }
  return summary;
}

std::string leader::BacklogResponse(const std::string& node,
                                    std::uint64_t fencing_token,
                                    std::uint64_t sequence,
                                    std::string_view refused) {
  const millis now = impl_->context.now.Now();
  impl_->backlog.RecordNode(node, now);
  const auto work = sched::DecodeRefusedWork(refused);
  if (Ok(work)) impl_->backlog.AddRefusedWork(Value(work), now);
  const sched::backlog_summary& summary = impl_->backlog.Summary(
      now, impl_->context.MeasuredLink().IsCongested() ? kCongestedMaxAgeMs
                                                       : kMaxAgeMs);
  // A node that knows a summary is sent an empty one with token and sequence,
  // so that it can tell it from a late one of an earlier leader.
  if (fencing_token == 0 && impl_->backlog.IsIdle(now)) return "";
  if (fencing_token == impl_->fencing_token && sequence == summary.sequence) {
    return std::string(kUnchangedBacklog);
  }
  return sched::EncodeBacklog(summary);
}

}  // namespace radishwing::node

#include "src/control/claim_service.h"

#include <kj/debug.h>

#include <algorithm>
#include <utility>

#include "src/base/log.h"
#include "src/rpc/convert.h"

namespace radishwing::control {
namespace {

using requests::claim_answer;
using requests::claim_state;

// As many as claim_table keeps.
constexpr std::size_t kOwnersMax = 200'000;

// Every member writes an acknowledgement within about a second of each epoch,
// and each write would wake every member.
constexpr millis kRosterSpacingMs = 500;

std::string HostOf(std::string_view id) {
  return std::string(requests::HostOf(id));
}

}  // namespace

claim_service::claim_service(kj::Timer& timer, clock now,
                             const control_options& options, store_port& store,
                             peer_mesh& mesh, settings_keeper& keeper,
                             entry_registry& entries)
    : timer_(timer),
      clock_(std::move(now)),
      options_(options),
      store_(store),
      mesh_(mesh),
      keeper_(keeper),
      entries_(entries),
      self_(options.host + '#' + std::to_string(options.incarnation)),
      lease_(timer, clock_, options.timing, store, "lease/roster", self_),
      roster_watch_(timer, options, store, "roster"),
      tasks_(kj::heap<kj::TaskSet>(
          static_cast<kj::TaskSet::ErrorHandler&>(*this))) {
  keeper_.OnChange([this] { MakeTable(); });
  roster_watch_.spacing_ms = kRosterSpacingMs;
  roster_watch_.on_item = [this](const stored_value& item) {
    if (item.key == "roster") ObserveRoster(item);
  };
}

void claim_service::Start() {
  tasks_->add(lease_.Run());
  roster_watch_.Start();
}

void claim_service::MakeTable() {
  // The retention of claims that exist must not shrink, so the first settings
  // decide until the next start.
  if (table_) return;
  requests::claim_table_options options;
  options.retention_ms = keeper_.Tree()->identifier_retention_seconds * 1000;
  for (const auto& [name, service] : keeper_.Tree()->services) {
    options.longest_run_ms =
        std::max(options.longest_run_ms, service.longest_run_seconds * 1000);
  }
  table_.emplace(self_, options);
  if (auto known = std::exchange(roster_, std::nullopt)) ObserveRoster(*known);
}

millis claim_service::HopMs() const {
  // Two hops, to the primary and on to the second copy, fit into the call
  // deadline of the entry.
  return options_.timing.call_deadline_ms * 2 / 5;
}

kj::Promise<rpc::Peer::Client> claim_service::ReachMember(
    const std::string& member) {
  return mesh_.Reach(HostOf(member))
      .then([this, member](rpc::Peer::Client peer) {
        KJ_REQUIRE(mesh_.ProcessAt(HostOf(member)) == member,
                   "another process runs in its place");
        return peer;
      });
}

kj::Promise<claim_answer> claim_service::Claim(const requests::claim& claim) {
  if (!table_) return claim_answer();
  std::string primary = table_->PrimaryOf(claim.request_id);
  if (primary.empty()) return claim_answer();
  std::uint64_t epoch = table_->RosterEpoch();
  if (primary == self_) return ClaimAsPrimary(claim, epoch);
  auto call = ReachMember(primary).then([claim, epoch](rpc::Peer::Client peer) {
    auto request = peer.claimRequest();
    rpc::Write(claim, request.initClaim());
    request.setRosterEpoch(epoch);
    return request.send();
  });
  return timer_.timeoutAfter(2 * HopMs() * kj::MILLISECONDS, std::move(call))
      .then(
          [](capnp::Response<rpc::Peer::ClaimResults> reply) {
            return rpc::Read(reply.getAnswer());
          },
          [this, primary](kj::Exception&&) {
            mesh_.Distrust(HostOf(primary));
            return claim_answer();
          });
}

kj::Promise<claim_answer> claim_service::ClaimAsPrimary(
    const requests::claim& claim, std::uint64_t roster_epoch) {
  if (!table_) return claim_answer();
  if (roster_epoch > table_->RosterEpoch()) roster_watch_.Hurry();
  auto note = [this, claim](claim_answer answer) {
    bool fresh = answer.state == claim_state::kFresh;
    if (fresh && owners_.size() < kOwnersMax) {
      owners_[claim.request_id] = claim.owner;
    }
    return answer;
  };
  requests::claim_step step =
      table_->BeginClaim(claim, roster_epoch, clock_.Now());
  if (step.replicate_to.empty()) return note(step.answer);
  auto call =
      ReachMember(step.replicate_to)
          .then([claim, epoch = step.roster_epoch](rpc::Peer::Client peer) {
            auto request = peer.replicateClaimRequest();
            rpc::Write(claim, request.initClaim());
            request.setRosterEpoch(epoch);
            return request.send();
          });
  return timer_.timeoutAfter(HopMs() * kj::MILLISECONDS, std::move(call))
      .then(
          [](capnp::Response<rpc::Peer::ReplicateClaimResults> reply) {
            return std::optional<claim_answer>(rpc::Read(reply.getAnswer()));
          },
          [this, second = step.replicate_to](kj::Exception&&) {
            mesh_.Distrust(HostOf(second));
            return std::optional<claim_answer>();
          })
      .then([this, claim, note](std::optional<claim_answer> second) {
        return note(table_->EndClaim(claim, second, clock_.Now()));
      });
}

claim_answer claim_service::Replicate(const requests::claim& claim,
                                      std::uint64_t roster_epoch) {
  if (!table_) return {};
  if (roster_epoch > table_->RosterEpoch()) roster_watch_.Hurry();
  return table_->Replicate(claim, roster_epoch, clock_.Now());
}

void claim_service::FinishHere(const std::string& request_id,
                               const std::string& owner,
                               requests::outcome outcome,
                               std::uint16_t status) {
  if (!table_) return;
  table_->Finish(request_id, owner, outcome, status, clock_.Now());
  auto known = owners_.find(request_id);
  if (known != owners_.end() && known->second == owner) owners_.erase(known);
}

kj::Promise<void> claim_service::Finish(const std::string& request_id,
                                        const std::string& owner,
                                        requests::outcome outcome,
                                        std::uint16_t status) {
  if (!table_) return kj::READY_NOW;
  auto copies = requests::ChooseCopies(table_->Roster().members, request_id);
  kj::Vector<kj::Promise<void>> told;
  for (const auto* copy : {copies.primary, copies.second}) {
    if (copy == nullptr) continue;
    if (copy->id == self_) {
      FinishHere(request_id, owner, outcome, status);
      continue;
    }
    auto call = ReachMember(copy->id).then([=](rpc::Peer::Client peer) {
      auto request = peer.finishClaimRequest();
      request.setRequestId(rpc::ToText(request_id));
      request.setOwner(rpc::ToText(owner));
      request.setOutcome(rpc::Write(outcome));
      request.setStatus(status);
      return request.send().ignoreResult();
    });
    // A copy that cannot be told keeps `running`: repeats get unknown.
    told.add(timer_.timeoutAfter(HopMs() * kj::MILLISECONDS, std::move(call))
                 .catch_([](kj::Exception&&) {}));
  }
  return kj::joinPromises(told.releaseAsArray());
}

void claim_service::taskFailed(kj::Exception&& exception) {
  changing_ = false;
  LogWarning("claims", std::string("task failed, reason=") +
                           exception.getDescription().cStr());
}

}  // namespace radishwing::control

#include <algorithm>
#include <utility>

#include "src/base/log.h"
#include "src/base/sha256.h"
#include "src/control/claim_service.h"
#include "src/requests/roster_transitions.h"
#include "src/rpc/convert.h"

namespace radishwing::control {
namespace {

constexpr const char* kRosterKey = "roster";

// About 1 MB in one message, of which 4 MB are read.
constexpr std::size_t kClaimsInHandOver = 4000;

}  // namespace

void claim_service::ObserveRoster(const stored_value& value) {
  if (roster_ && value.version <= roster_->version) return;
  auto record = requests::ParseRosterRecord(value.value);
  if (!Ok(record)) {
    LogError("claims", "roster refused, reason=" + Error(record).message);
    return;
  }
  roster_ = value;
  if (!table_) return;
  bool newer = Value(record).epoch != table_->RosterEpoch();
  table_->ObserveRoster(Value(record), clock_.Now());
  if (newer) {
    LogInfo("claims",
            "roster adopted, epoch=" + std::to_string(Value(record).epoch) +
                " members=" + std::to_string(Value(record).members.size()));
    HandOver();
  }
}

kj::Promise<bool> claim_service::ChangeRoster(roster_change change,
                                              std::string what) {
  record_swap swap;
  swap.key = kRosterKey;
  swap.seen = [this](const stored_value& value) { ObserveRoster(value); };
  swap.next =
      [change = std::move(change)](
          const std::optional<stored_value>& current) -> result<std::string> {
    requests::roster_record record;
    if (current.has_value()) {
      auto parsed = requests::ParseRosterRecord(current->value);
      if (!Ok(parsed)) return Error(parsed);
      record = Value(parsed);
    }
    auto next = change(record, RandomHex(16));
    if (!Ok(next)) return Error(next);
    return requests::FormatRosterRecord(Value(next));
  };
  return SwapRecord(store_, std::move(swap))
      .then([what](result<stored_value> written) {
        if (Ok(written)) LogInfo("claims", "roster changed, change=" + what);
        return Ok(written);
      });
}

std::optional<claim_service::roster_change> claim_service::NextChange(
    std::string& what) {
  const requests::roster_record& roster = table_->Roster();
  auto remove = [&](const std::string& id) -> roster_change {
    what = "remove " + id;
    return [id](const auto& record, const auto& change_id) {
      return requests::RemoveMember(record, id, change_id);
    };
  };
  if (table_->ReadyToAcknowledge()) {
    what = "acknowledge " + self_;
    return [self = self_, epoch = table_->RosterEpoch()](
               const auto& record, const auto& change_id) {
      return requests::AcknowledgeHandOver(record, self, epoch, change_id);
    };
  }
  for (const auto& member : roster.members) {
    std::string host(requests::HostOf(member.id));
    // The process that ran here before is gone.
    if (host == options_.host && member.id != self_) return remove(member.id);
    const auto* row = mesh_.Members().Find(host);
    bool gone = row != nullptr &&
                row->state >= membership::member_state::kFailed &&
                mesh_.Members().SilentMs(host, clock_.Now()) >=
                    options_.timing.roster_grace_ms;
    if (gone && lease_.Held()) return remove(member.id);
  }
  if (!roster.Lists(self_)) {
    what = "add " + self_;
    return [this](const auto& record, const auto& change_id) {
      return requests::AddMember(record, self_, options_.data_centre,
                                 change_id);
    };
  }
  auto former = table_->ForgettableFormer(clock_.Now());
  if (former && lease_.Held()) {
    what = "forget epoch " + std::to_string(*former);
    return [epoch = *former](const auto& record, const auto& change_id) {
      return requests::ForgetFormer(record, epoch, change_id);
    };
  }
  return std::nullopt;
}

void claim_service::KeepRoster() {
  if (changing_ || stopping_ || !roster_watch_.Known()) return;
  std::string what;
  auto change = NextChange(what);
  if (!change) return;
  changing_ = true;
  tasks_->add(
      ChangeRoster(*change, what).then([this](bool) { changing_ = false; }));
}

void claim_service::Tick() {
  if (!table_) return;
  table_->Expire(clock_.Now());
  KeepRoster();
  HandOver();
}

void claim_service::HandOver() {
  for (const std::string& target : table_->HandOverTargets()) {
    if (!handing_over_.insert(target).second) continue;
    tasks_->add(HandOverTo(target).then(
        [this, target] { handing_over_.erase(target); }));
  }
}

kj::Promise<void> claim_service::HandOverTo(std::string target) {
  auto claims = std::make_shared<std::vector<requests::handed_claim>>(
      table_->HandOverTo(target));
  std::uint64_t epoch = table_->RosterEpoch();
  return SendHandOver(target, epoch, claims, 0)
      .then([this, target, epoch] { table_->HandOverAccepted(target, epoch); })
      .catch_([](kj::Exception&&) {
        // Sent again with the next heartbeat.
      });
}

kj::Promise<void> claim_service::SendHandOver(
    std::string target, std::uint64_t epoch,
    std::shared_ptr<std::vector<requests::handed_claim>> claims,
    std::size_t from) {
  std::size_t end = std::min(claims->size(), from + kClaimsInHandOver);
  auto call = ReachMember(target).then([=](rpc::Peer::Client peer) {
    auto request = peer.handOverRequest();
    request.setRosterEpoch(epoch);
    auto list = request.initClaims(end - from);
    auto answers = request.initAnswers(end - from);
    for (std::size_t i = from; i < end; ++i) {
      rpc::Write((*claims)[i].claim, list[i - from]);
      rpc::Write((*claims)[i].answer, answers[i - from]);
    }
    return request.send();
  });
  return timer_
      .timeoutAfter(options_.timing.call_deadline_ms * kj::MILLISECONDS,
                    std::move(call))
      .then([=, this](capnp::Response<rpc::Peer::HandOverResults> reply)
                -> kj::Promise<void> {
        if (!reply.getAccepted()) {
          return KJ_EXCEPTION(FAILED, "the hand-over was not accepted");
        }
        if (end == claims->size()) return kj::READY_NOW;
        return SendHandOver(target, epoch, claims, end);
      });
}

bool claim_service::AcceptHandOver(
    std::uint64_t roster_epoch, const std::vector<requests::claim>& claims,
    const std::vector<requests::claim_answer>& answers) {
  if (!table_ || claims.size() != answers.size()) return false;
  if (roster_epoch > table_->RosterEpoch()) roster_watch_.Hurry();
  std::vector<requests::handed_claim> handed;
  handed.reserve(claims.size());
  for (std::size_t i = 0; i < claims.size(); ++i) {
    handed.push_back({claims[i], answers[i]});
  }
  return table_->AcceptHandOver(roster_epoch, handed, clock_.Now());
}

kj::Promise<void> claim_service::Stop() {
  stopping_ = true;
  roster_watch_.Stop();
  tasks_ =
      kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
  handing_over_.clear();
  if (!table_ || !table_->Roster().Lists(self_)) return lease_.Release();
  return ChangeRoster(
             [self = self_](const auto& record, const auto& change_id) {
               return requests::RemoveMember(record, self, change_id);
             },
             "leave " + self_)
      .then([this](bool) {
        kj::Vector<kj::Promise<void>> sent;
        handing_over_.clear();
        for (const std::string& target : table_->HandOverTargets()) {
          sent.add(HandOverTo(target));
        }
        return kj::joinPromises(sent.releaseAsArray());
      })
      .then([this] { return lease_.Release(); });
}

}  // namespace radishwing::control

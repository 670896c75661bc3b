#include <memory>
#include <utility>

#include "src/control/claim_service.h"
#include "src/rpc/convert.h"

namespace radishwing::control {
namespace {

// Claims name "<host>#<incarnation>/<n>", sessions without the number.
std::string EntryOf(const std::string& owner) {
  return owner.substr(0, owner.find('/'));
}

kj::Promise<bool> Ask(kj::Timer& timer, millis deadline_ms,
                      kj::Promise<rpc::Peer::Client> reached,
                      const std::string& request_id, const std::string& team) {
  auto call = reached.then([=](rpc::Peer::Client peer) {
    auto request = peer.cancelRequestRequest();
    request.setRequestId(rpc::ToText(request_id));
    request.setTeam(rpc::ToText(team));
    return request.send();
  });
  return timer.timeoutAfter(deadline_ms * kj::MILLISECONDS, std::move(call))
      .then(
          [](capnp::Response<rpc::Peer::CancelRequestResults> reply) {
            return reply.getFound();
          },
          [](kj::Exception&&) { return false; });
}

}  // namespace

kj::Promise<bool> claim_service::CancelHere(const std::string& request_id,
                                            const std::string& team) {
  auto known = owners_.find(requests::ScopedId(team, request_id));
  if (known != owners_.end()) {
    std::string host(requests::HostOf(known->second));
    if (host == options_.host) {
      return entries_.Cancel(EntryOf(known->second), request_id, team);
    }
    return Ask(timer_, HopMs(), mesh_.Reach(host), request_id, team);
  }
  kj::Promise<bool> told = false;
  for (const auto& [id, state] : entries_.All()) {
    told = entries_.Cancel(state.Owner(), request_id, team);
  }
  return told;
}

kj::Promise<bool> claim_service::Cancel(const std::string& request_id,
                                        const std::string& team) {
  std::string id = requests::ScopedId(team, request_id);
  std::string primary = table_ ? table_->PrimaryOf(id) : "";
  if (owners_.contains(id)) return CancelHere(request_id, team);
  kj::Vector<kj::Promise<bool>> asked;
  auto knows = std::make_shared<bool>(false);
  for (const auto& row : mesh_.Rows()) {
    if (row.host == options_.host) {
      asked.add(CancelHere(request_id, team));
    } else if (row.state <= membership::member_state::kSuspect) {
      bool is_primary = requests::HostOf(primary) == row.host;
      asked.add(
          Ask(timer_, 2 * HopMs(), mesh_.Reach(row.host), request_id, team)
              .then([knows, is_primary](bool found) {
                *knows = *knows || (is_primary && found);
                return found;
              }));
    }
  }
  return kj::joinPromises(asked.releaseAsArray())
      .then([knows](kj::Array<bool>) { return *knows; });
}

}  // namespace radishwing::control

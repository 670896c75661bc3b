#include "src/control/peer_mesh.h"

#include <kj/debug.h>

#include <algorithm>
#include <set>
#include <utility>

#include "src/base/log.h"

namespace radishwing::control {
namespace {

// A link that is not part of the heartbeat mesh stays open this long after its
// last use.
constexpr millis kReachedLinkMs = 60000;

// A link whose heartbeats the other side's make unnecessary still carries one
// in this many, so that a silent one is noticed.
constexpr int kHeartbeatEvery = 8;

membership::member SelfRow(const rpc::hello& self) {
  membership::member row;
  row.host = self.host;
  row.data_centre = self.data_centre;
  row.address = self.address;
  row.incarnation = self.incarnation;
  return row;
}

}  // namespace

peer_mesh::peer_mesh(kj::AsyncIoContext& io, clock now,
                     const control_options& options, rpc::hello self)
    : io_(io),
      timer_(io.provider->getTimer()),
      clock_(std::move(now)),
      options_(options),
      self_(std::move(self)),
      members_(SelfRow(self_), options.timing.members, clock_.Now()),
      outside_news_ms_(clock_.Now()),
      tasks_(*this) {}

void peer_mesh::Tick() {
  Report(members_.Tick(clock_.Now()));
  std::vector<std::string> targets = Targets();
  std::set<std::string> wanted(targets.begin(), targets.end());
  std::erase_if(reached_until_, [this](const auto& reached) {
    return reached.second < clock_.Now();
  });
  std::erase_if(links_, [&](const auto& link) {
    return !wanted.contains(link.first) && !reached_until_.contains(link.first);
  });
  for (const std::string& address : targets) {
    peer_link& link = LinkTo(address);
    if (link.IsOpen()) {
      Heartbeat(link);
    } else {
      link.Open();
    }
  }
}

std::vector<std::string> peer_mesh::Targets() {
  std::vector<std::string> targets;
  for (const auto& peer : members_.HeartbeatPeers()) {
    targets.push_back(peer.address);
  }
  // A first contact matters while its host is not known as a member that works.
  for (const std::string& address : options_.peers) {
    auto contact = contact_hosts_.find(address);
    const membership::member* row = contact == contact_hosts_.end()
                                        ? nullptr
                                        : members_.Find(contact->second);
    bool known =
        row != nullptr && row->state < membership::member_state::kFailed;
    if (address != self_.address && !known) targets.push_back(address);
  }
  return targets;
}

peer_link& peer_mesh::LinkTo(const std::string& address) {
  auto& link = links_[address];
  if (!link) {
    rpc::join_options join{address, options_.fleet_secret, self_,
                           options_.timing.call_deadline_ms};
    link = std::make_unique<peer_link>(io_, std::move(join),
                                       [this, address](const rpc::hello& who) {
                                         contact_hosts_[address] = who.host;
                                         auto found = links_.find(address);
                                         if (found != links_.end())
                                           Heartbeat(*found->second);
                                       });
  }
  return *link;
}

bool peer_mesh::HeardBy(const std::string& host) const {
  if (self_.host < host) return false;
  auto called = called_ms_.find(host);
  return called != called_ms_.end() &&
         clock_.Now() - called->second <
             options_.timing.members.heartbeat_ms * 3 / 2;
}

void peer_mesh::Heartbeat(peer_link& link) {
  if (link.heartbeat_sent || link.Other().host == self_.host) return;
  if (HeardBy(link.Other().host) && ++link.heartbeats_skipped < kHeartbeatEvery)
    return;
  link.heartbeats_skipped = 0;
  link.heartbeat_sent = true;
  auto request = link.Peer().exchangeRequest();
  Write(MakeDigest(link.Other().host), request.initDigest());
  std::string address = link.Address();
  tasks_.add(
      timer_
          .timeoutAfter(options_.timing.call_deadline_ms * kj::MILLISECONDS,
                        request.send())
          .then(
              [this,
               address](capnp::Response<rpc::Peer::ExchangeResults> reply) {
                auto found = links_.find(address);
                if (found != links_.end()) {
                  found->second->heartbeat_sent = false;
                }
                Take(Read(reply.getDigest()));
              },
              [this, address](kj::Exception&& reason) {
                auto found = links_.find(address);
                if (found == links_.end()) return;
                members_.ForgetTold(found->second->Other().host);
                found->second->Break(reason.getDescription().cStr());
              }));
}

peer_digest peer_mesh::MakeDigest(const std::string& to) {
  peer_digest digest;
  digest.from = self_.host;
  // Everything for a member that is not known here yet.
  digest.members =
      members_.Find(to) == nullptr ? members_.All() : members_.Digest(to);
  digest.beats = members_.Beats(to);
  if (fill) fill(digest);
  return digest;
}

peer_digest peer_mesh::Exchange(const peer_digest& received) {
  bool known = members_.Find(received.from) != nullptr;
  Take(received);
  called_ms_[received.from] = clock_.Now();
  members_.Beat();
  peer_digest answer = MakeDigest(received.from);
  if (!known) answer.members = members_.All();
  return answer;
}

void peer_mesh::Take(const peer_digest& received) {
  Report(members_.Merge(received.members, clock_.Now()));
  Report(members_.MergeBeats(received.beats, clock_.Now()));
  bool other_centres = false;
  bool heard = false;
  for (const auto& row : members_.All()) {
    if (row.host == self_.host) continue;
    other_centres |= row.data_centre != self_.data_centre &&
                     row.state != membership::member_state::kLeft;
    heard |= row.data_centre != self_.data_centre &&
             row.state == membership::member_state::kAlive;
  }
  if (heard || !other_centres) outside_news_ms_ = clock_.Now();
  if (on_digest) on_digest(received);
}

void peer_mesh::Report(const std::vector<membership::member_change>& changes) {
  for (const auto& change : changes) {
    LogInfo(
        "member",
        "state changed, host=" + change.now.host + " from=" +
            (change.is_new
                 ? "new"
                 : std::string(membership::MemberStateName(change.before))) +
            " to=" +
            std::string(membership::MemberStateName(change.now.state)) +
            " incarnation=" + std::to_string(change.now.incarnation));
    if (on_change) on_change(change);
  }
}

kj::Promise<rpc::Peer::Client> peer_mesh::Reach(const std::string& host) {
  const membership::member* row = members_.Find(host);
  if (row == nullptr || host == self_.host) {
    return KJ_EXCEPTION(FAILED, "the host is not a member", host);
  }
  std::string address = row->address;
  reached_until_[address] = clock_.Now() + kReachedLinkMs;
  return LinkTo(address).Opened().then([this, address]() {
    auto found = links_.find(address);
    KJ_REQUIRE(found != links_.end() && found->second->IsOpen(),
               "the link was closed");
    return found->second->Peer();
  });
}

std::string peer_mesh::ProcessAt(const std::string& host) {
  const membership::member* row = members_.Find(host);
  if (row == nullptr) return "";
  auto found = links_.find(row->address);
  if (found == links_.end() || !found->second->IsOpen()) return "";
  const rpc::hello& other = found->second->Other();
  return other.host + '#' + std::to_string(other.incarnation);
}

void peer_mesh::Distrust(const std::string& host) {
  const membership::member* row = members_.Find(host);
  if (row == nullptr) return;
  auto found = links_.find(row->address);
  if (found != links_.end()) found->second->Break("a call got no answer");
}

kj::Promise<void> peer_mesh::Leave() {
  members_.Leave();
  kj::Vector<kj::Promise<void>> told;
  for (auto& [address, link] : links_) {
    if (!link->IsOpen() || link->Other().host == self_.host) continue;
    auto request = link->Peer().exchangeRequest();
    Write(MakeDigest(link->Other().host), request.initDigest());
    told.add(
        timer_
            .timeoutAfter(options_.timing.call_deadline_ms * kj::MILLISECONDS,
                          request.send())
            .ignoreResult()
            .catch_([](kj::Exception&&) {}));
  }
  return kj::joinPromises(told.releaseAsArray());
}

void peer_mesh::taskFailed(kj::Exception&& exception) {
  LogWarning("peer", std::string("task failed, reason=") +
                         exception.getDescription().cStr());
}

}  // namespace radishwing::control

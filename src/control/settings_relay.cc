#include "src/control/settings_relay.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/base/log.h"
#include "src/control/settings_record.h"
#include "src/rpc/convert.h"

namespace radishwing::control {

settings_relay::settings_relay(kj::Timer& timer, clock now,
                               const control_options& options,
                               store_port& store, peer_mesh& mesh,
                               settings_keeper& keeper)
    : timer_(timer),
      options_(options),
      store_(store),
      mesh_(mesh),
      keeper_(keeper),
      lease_(timer, std::move(now), options.timing, store,
             "lease/settings/" + options.data_centre,
             options.host + '#' + std::to_string(options.incarnation)),
      tasks_(kj::heap<kj::TaskSet>(
          static_cast<kj::TaskSet::ErrorHandler&>(*this))) {}

void settings_relay::Start() {
  lease_.on_change = [this](bool held) {
    // Later: the loop that is dropped may be the one that noticed the loss.
    tasks_->add(kj::evalLater([this, held] {
      watching_ = held ? WatchLoop().eagerlyEvaluate([this](auto&& reason) {
        taskFailed(std::move(reason));
      })
                       : kj::Promise<void>(nullptr);
    }));
  };
  tasks_->add(lease_.Run());
  tasks_->add(FirstRead());
}

kj::Promise<void> settings_relay::FirstRead() {
  if (keeper_.Revision() != 0) return kj::READY_NOW;
  return ReadStore()
      .then([this] {
        return timer_.afterDelay(options_.timing.lease_poll_ms *
                                 kj::MILLISECONDS);
      })
      .then([this] { return FirstRead(); });
}

kj::Promise<void> settings_relay::ReadStore() {
  return store_.Get(kSettingsKey)
      .then([this](result<std::optional<stored_value>> found) {
        if (!Ok(found) || !Value(found).has_value()) return;
        watched_version_ = std::max(watched_version_, Value(found)->version);
        OfferStored(Value(found)->value);
      });
}

kj::Promise<void> settings_relay::WatchLoop() {
  // Each turn also reads the key, so that a change that the watch lost is
  // found at the latest after one wait.
  return ReadStore()
      .then([this] { return store_.Watch(kSettingsKey, watched_version_); })
      .then([this](result<stored_values> seen) -> kj::Promise<void> {
        if (!Ok(seen)) {
          return timer_.afterDelay(options_.timing.lease_poll_ms *
                                   kj::MILLISECONDS);
        }
        watched_version_ = std::max(watched_version_, Value(seen).revision);
        for (const auto& item : Value(seen).items) {
          // The prefix also covers the history.
          if (item.key == kSettingsKey && !item.deleted) {
            OfferStored(item.value);
          }
        }
        return kj::READY_NOW;
      })
      .then([this] { return WatchLoop(); });
}

void settings_relay::OfferStored(const std::string& value) {
  auto decoded = DecodeSettings(value);
  if (!Ok(decoded)) {
    LogError("settings",
             "stored record refused, reason=" + Error(decoded).message);
    return;
  }
  if (keeper_.Offer(Value(decoded), "store")) PushToNeighbours();
}

void settings_relay::PushToNeighbours() {
  std::set<std::string> hosts;
  for (const auto& row : mesh_.Rows()) {
    bool near = row.data_centre == options_.data_centre &&
                row.state <= membership::member_state::kSuspect;
    if (near) hosts.insert(row.host);
  }
  for (const auto& row : mesh_.Members().HeartbeatPeers()) {
    hosts.insert(row.host);
  }
  hosts.erase(options_.host);
  for (const std::string& host : hosts) Push(host);
}

void settings_relay::Push(const std::string& host) {
  tasks_->add(
      timer_
          .timeoutAfter(options_.timing.call_deadline_ms * kj::MILLISECONDS,
                        mesh_.Reach(host).then([this](rpc::Peer::Client peer) {
                          auto request = peer.offerSettingsRequest();
                          rpc::Write(keeper_.Text(), request.initSettings());
                          return request.send().ignoreResult();
                        }))
          .catch_([](kj::Exception&&) {
            // The member learns of the revision from the next digest.
          }));
}

void settings_relay::OnDigest(const std::string& from, std::uint64_t revision) {
  if (revision <= keeper_.Revision() || fetching_) return;
  fetching_ = true;
  tasks_->add(Fetch(from).then([this] { fetching_ = false; }));
}

kj::Promise<void> settings_relay::Fetch(std::string from) {
  return timer_
      .timeoutAfter(options_.timing.call_deadline_ms * kj::MILLISECONDS,
                    mesh_.Reach(from).then([this](rpc::Peer::Client peer) {
                      auto request = peer.fetchSettingsRequest();
                      request.setAfterRevision(keeper_.Revision());
                      return request.send();
                    }))
      .then(
          [this, from](capnp::Response<rpc::Peer::FetchSettingsResults> reply) {
            keeper_.Offer(rpc::Read(reply.getSettings()), from);
          })
      .catch_([this](kj::Exception&&) { return ReadStore(); });
}

kj::Promise<void> settings_relay::Stop() {
  watching_ = nullptr;
  tasks_ =
      kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
  return lease_.Release();
}

void settings_relay::taskFailed(kj::Exception&& exception) {
  LogWarning("settings", std::string("task failed, reason=") +
                             exception.getDescription().cStr());
}

}  // namespace radishwing::control

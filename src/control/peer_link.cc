#include "src/control/peer_link.h"

#include <kj/debug.h>

#include <utility>

#include "src/base/log.h"

namespace radishwing::control {

peer_link::peer_link(kj::AsyncIoContext& io, rpc::join_options options,
                     std::function<void(const rpc::hello&)> on_joined)
    : io_(io),
      options_(std::move(options)),
      on_joined_(std::move(on_joined)),
      tasks_(*this) {}

void peer_link::Open() {
  if (opening_ || IsOpen()) return;
  opening_ = true;
  tasks_.add(rpc::JoinAsPeer(io_, options_)
                 .then([this](kj::Own<rpc::joined_peer> joined) {
                   Joined(std::move(joined));
                 })
                 .catch_([this](kj::Exception&& reason) {
                   opening_ = false;
                   Break(reason.getDescription().cStr());
                 }));
}

void peer_link::Joined(kj::Own<rpc::joined_peer> joined) {
  opening_ = false;
  failure_logged_ = false;
  joined_ = std::move(joined);
  other_ = joined_->other;
  std::uint64_t generation = ++generation_;
  LogInfo("peer",
          "link opened, host=" + other_.host + " address=" + options_.address);
  tasks_.add(joined_->connection->Disconnected().then([this, generation] {
    // Later, so that the connection does not end inside its own event.
    tasks_.add(kj::evalLater([this, generation] {
      if (generation == generation_) Break("disconnected");
    }));
  }));
  for (auto& waiting : std::exchange(waiting_, {})) waiting->fulfill();
  on_joined_(other_);
}

kj::Promise<void> peer_link::Opened() {
  if (IsOpen()) return kj::READY_NOW;
  Open();
  auto pair = kj::newPromiseAndFulfiller<void>();
  waiting_.push_back(std::move(pair.fulfiller));
  return std::move(pair.promise);
}

void peer_link::Break(const std::string& reason) {
  if (!failure_logged_) {
    LogWarning("peer", "link closed, address=" + options_.address +
                           " host=" + other_.host + " reason=" + reason);
    failure_logged_ = true;
  }
  ++generation_;
  heartbeat_sent = false;
  joined_ = nullptr;
  for (auto& waiting : std::exchange(waiting_, {})) {
    waiting->reject(KJ_EXCEPTION(DISCONNECTED, reason));
  }
}

void peer_link::taskFailed(kj::Exception&& exception) {
  LogWarning("peer", std::string("task failed, reason=") +
                         exception.getDescription().cStr());
}

}  // namespace radishwing::control

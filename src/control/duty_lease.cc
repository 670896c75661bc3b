#include "src/control/duty_lease.h"

#include <boost/json.hpp>
#include <utility>

#include "src/base/log.h"
#include "src/base/sha256.h"

namespace radishwing::control {

duty_lease::duty_lease(kj::Timer& timer, clock now,
                       const control_timing& timing, store_port& store,
                       std::string key, std::string holder)
    : timer_(timer),
      clock_(std::move(now)),
      timing_(timing),
      store_(store),
      key_(std::move(key)),
      holder_(std::move(holder)) {}

kj::Promise<void> duty_lease::Run() {
  return Step().then([this] { return Wait(); }).then([this] { return Run(); });
}

kj::Promise<void> duty_lease::Wait() {
  auto poll = [this] {
    return timer_.afterDelay(timing_.lease_poll_ms * kj::MILLISECONDS);
  };
  // Three renewals fit into one time to live.
  if (held_) {
    return timer_.afterDelay(timing_.lease_ttl_ms / 3 * kj::MILLISECONDS);
  }
  std::uint64_t version = std::exchange(others_version_, 0);
  if (version == 0) return poll();
  // A watch ends when the other holder's key expires. It waits no longer than
  // a lease lives, so that a watch that the store lost delays the duty little.
  return store_.Watch(key_, version, timing_.lease_ttl_ms)
      .then([this, version,
             poll](result<stored_values> seen) -> kj::Promise<void> {
        if (!Ok(seen)) return poll();
        if (!Value(seen).items.empty()) return kj::READY_NOW;
        others_version_ = version;
        return Wait();
      });
}

bool duty_lease::Held() {
  // After a pause the platform has given the lease to another control.
  if (held_ && clock_.Now() - renewed_ms_ >= timing_.lease_ttl_ms) {
    Lost("expired");
  }
  return held_;
}

kj::Promise<void> duty_lease::Step() { return Held() ? Renew() : TryAcquire(); }

kj::Promise<void> duty_lease::TryAcquire() {
  return store_.Get(key_).then(
      [this](result<std::optional<stored_value>> found) -> kj::Promise<void> {
        if (!Ok(found)) return kj::READY_NOW;
        if (Value(found).has_value()) {
          others_version_ = Value(found)->version;
          return kj::READY_NOW;
        }
        renewed_ms_ = clock_.Now();
        return store_.GrantLease(timing_.lease_ttl_ms)
            .then([this](result<std::string> granted) -> kj::Promise<void> {
              if (!Ok(granted)) return kj::READY_NOW;
              lease_ = Value(granted);
              return Save();
            });
      });
}

kj::Promise<void> duty_lease::Save() {
  value_ = boost::json::serialize(
      boost::json::object{{"holder", holder_}, {"change_id", RandomHex(16)}});
  return store_.Put(key_, value_, 0, lease_)
      .then([this](result<put_answer> answer) -> kj::Promise<void> {
        if (Ok(answer) && Value(answer).written) {
          Gained();
          return kj::READY_NOW;
        }
        if (Ok(answer)) return DropLease();
        // The write may have taken effect: the key tells.
        return CheckSaved();
      });
}

kj::Promise<void> duty_lease::CheckSaved() {
  return store_.Get(key_).then(
      [this](result<std::optional<stored_value>> found) -> kj::Promise<void> {
        bool own = Ok(found) && Value(found).has_value() &&
                   Value(found)->value == value_;
        if (own) {
          Gained();
          return kj::READY_NOW;
        }
        return DropLease();
      });
}

kj::Promise<void> duty_lease::Renew() {
  millis sent = clock_.Now();
  return store_.RenewLease(lease_).then([this, sent](result<done> answer) {
    if (Ok(answer)) {
      renewed_ms_ = sent;
      return;
    }
    failure_kind kind = Error(answer).kind;
    if (kind == failure_kind::kNotFound || kind == failure_kind::kConflict) {
      Lost("the platform does not know the lease");
    }
  });
}

void duty_lease::Gained() {
  held_ = true;
  LogInfo("lease", "duty gained, key=" + key_);
  if (on_change) on_change(true);
}

void duty_lease::Lost(const std::string& reason) {
  held_ = false;
  lease_.clear();
  LogWarning("lease", "duty lost, key=" + key_ + " reason=" + reason);
  if (on_change) on_change(false);
}

kj::Promise<void> duty_lease::DropLease() {
  std::string lease = std::exchange(lease_, std::string());
  return store_.DropLease(lease).ignoreResult();
}

kj::Promise<void> duty_lease::Release() {
  if (!std::exchange(held_, false)) return kj::READY_NOW;
  LogInfo("lease", "duty released, key=" + key_);
  return DropLease();
}

}  // namespace radishwing::control

#include "src/control/record_watch.h"

#include <algorithm>
#include <utility>

#include "src/base/log.h"

namespace radishwing::control {

record_watch::record_watch(kj::Timer& timer, const control_options& options,
                           store_port& store, std::string prefix)
    : timer_(timer),
      options_(options),
      store_(store),
      prefix_(std::move(prefix)),
      hurry_(timer),
      tasks_(kj::heap<kj::TaskSet>(
          static_cast<kj::TaskSet::ErrorHandler&>(*this))) {}

void record_watch::Observe(const stored_value& item) {
  auto known = items_.find(item.key);
  if (known != items_.end() && known->second.version > item.version) return;
  if (item.deleted) {
    items_.erase(item.key);
  } else {
    items_[item.key] = item;
    if (on_item) on_item(item);
  }
}

kj::Promise<void> record_watch::Pause() {
  return timer_.afterDelay(options_.timing.live_poll_ms * kj::MILLISECONDS);
}

kj::Promise<void> record_watch::ReadLoop() {
  return store_.List(prefix_)
      .then([this](result<stored_values> list) -> kj::Promise<void> {
        if (!Ok(list)) return Pause();
        revision_ = Value(list).revision;
        known_ = true;
        items_.clear();
        for (const auto& item : Value(list).items) {
          items_[item.key] = item;
          if (on_item) on_item(item);
        }
        return WatchLoop();
      })
      .then([this] { return ReadLoop(); });
}

kj::Promise<void> record_watch::WatchLoop() {
  return store_.Watch(prefix_, revision_)
      .then([this](result<stored_values> seen) -> kj::Promise<void> {
        // After a failure everything is read again.
        if (!Ok(seen)) return Pause();
        revision_ = std::max(revision_, Value(seen).revision);
        if (Value(seen).items.empty()) return WatchLoop();
        for (const auto& item : Value(seen).items) Observe(item);
        return Space().then([this] { return WatchLoop(); });
      });
}

kj::Promise<void> record_watch::Space() {
  millis now = (timer_.now() - kj::origin<kj::TimePoint>()) / kj::MILLISECONDS;
  bool burst = now - std::exchange(seen_ms_, now) < 2 * spacing_ms;
  return burst ? hurry_.Next(spacing_ms) : kj::Promise<void>(kj::READY_NOW);
}

void record_watch::taskFailed(kj::Exception&& exception) {
  LogError("store", "watch failed, prefix=" + prefix_ +
                        " reason=" + exception.getDescription().cStr());
}

}  // namespace radishwing::control

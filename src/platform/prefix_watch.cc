#include "src/platform/prefix_watch.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace radishwing::platform {

struct prefix_watch::impl : std::enable_shared_from_this<prefix_watch::impl> {
  impl(boost::asio::io_context& io, kv_store& store,
       prefix_watch_options options, prefix_watch_hooks hooks)
      : store(store),
        options(std::move(options)),
        hooks(std::move(hooks)),
        timer(io) {}

  void Read() {
    store.ReadPrefix(options.prefix,
                     [weak = weak_from_this()](result<kv_page> page) {
                       const auto self = weak.lock();
                       if (self && !self->stopped) {
                         self->OnPage(std::move(page), self->hooks.on_snapshot);
                       }
                     });
  }

  void Wait() {
    store.Watch(options.prefix, revision, options.wait_ms,
                [weak = weak_from_this()](result<kv_page> page) {
                  const auto self = weak.lock();
                  if (self && !self->stopped) {
                    self->OnPage(std::move(page), self->hooks.on_changes);
                  }
                });
  }

  void OnPage(result<kv_page> page, const std::function<void(kv_page)>& hook) {
    SetReachable(Ok(page));
    if (!Ok(page)) {
      // Changes have been forgotten, or the store has lost its content.
      if (Error(page).kind == failure_kind::kNotFound) known = false;
      Retry();
      return;
    }
    const bool first = !std::exchange(known, true);
    revision = Value(page).revision;
    if (first || !Value(page).items.empty()) hook(std::move(Value(page)));
    if (!stopped) Wait();
  }

  void Retry() {
    timer.expires_after(std::chrono::milliseconds(options.retry_ms));
    timer.async_wait(
        [weak = weak_from_this()](boost::system::error_code error) {
          const auto self = weak.lock();
          if (!self || error || self->stopped) return;
          self->known ? self->Wait() : self->Read();
        });
  }

  void SetReachable(bool now) {
    if (reached && reachable == now) return;
    reached = true;
    reachable = now;
    if (hooks.on_reach) hooks.on_reach(now);
  }

  kv_store& store;
  prefix_watch_options options;
  prefix_watch_hooks hooks;
  boost::asio::steady_timer timer;
  std::uint64_t revision = 0;
  bool known = false;  ///< A snapshot as of `revision` has been delivered.
  bool reached = false;
  bool reachable = false;
  bool stopped = false;
};

prefix_watch::prefix_watch(boost::asio::io_context& io, kv_store& store,
                           prefix_watch_options options,
                           prefix_watch_hooks hooks)
    : impl_(std::make_shared<impl>(io, store, std::move(options),
                                   std::move(hooks))) {
  impl_->Read();
}

prefix_watch::~prefix_watch() {
  impl_->stopped = true;
  impl_->timer.cancel();
}

}  // namespace radishwing::platform

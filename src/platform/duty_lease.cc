#include "src/platform/duty_lease.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <utility>

#include "src/platform/change_id.h"

namespace radishwing::platform {

struct duty_lease::impl : std::enable_shared_from_this<duty_lease::impl> {
  impl(boost::asio::io_context& io, kv_store& store, duty_lease_options options,
       std::function<void(bool)> on_change)
      : store(store),
        options(std::move(options)),
        on_change(std::move(on_change)),
        timer(io) {}

  /// Wraps a completion so that it runs only while this object is in use.
  template <typename Handler>
  auto Guard(Handler handler) {
    return [weak = weak_from_this(), handler](auto outcome) {
      const auto self = weak.lock();
      if (self && !self->stopped) handler(*self, std::move(outcome));
    };
  }

  void Step() { lease.empty() ? Look() : Renew(); }

  void Look() {
    store.Read(options.key, Guard([](impl& self, result<kv_item> item) {
                 const bool free =
                     !Ok(item) && Error(item).kind == failure_kind::kNotFound;
                 free ? self.Grant() : self.Schedule(self.options.ttl_ms / 2);
               }));
  }

  void Grant() {
    sent_at = options.clock.Now();
    store.GrantLease(options.ttl_ms,
                     Guard([](impl& self, result<std::string> granted) {
                       if (Ok(granted)) {
                         self.lease = Value(granted);
                         self.Take();
                       } else {
                         self.Schedule(self.options.ttl_ms / 2);
                       }
                     }));
  }

  void Take() {
    kv_swap swap;
    swap.key = options.key;
    swap.lease = lease;
    swap.value = boost::json::serialize(boost::json::value{
        {"change_id", NewChangeId()}, {"holder", options.holder}});
    store.Swap(std::move(swap), Guard([](impl& self, swap_outcome outcome) {
                 if (outcome.state == swap_state::kDone) {
                   self.valid_until = self.sent_at + self.options.ttl_ms;
                   self.SetHeld(true);
                   self.Schedule(self.options.ttl_ms / 3);
                 } else {
                   // Also undoes a write whose effect is unknown.
                   self.Drop();
                   self.Schedule(self.options.ttl_ms / 2);
                 }
               }));
  }

  void Renew() {
    const millis sent = options.clock.Now();
    store.RenewLease(lease, Guard([sent](impl& self, result<done> renewed) {
                       self.OnRenewed(sent, renewed);
                     }));
  }

  void OnRenewed(millis sent, const result<done>& renewed) {
    if (Ok(renewed)) {
      valid_until = sent + options.ttl_ms;
    } else if (Error(renewed).kind == failure_kind::kNotFound ||
               options.clock.Now() >= valid_until) {
      Drop();
      SetHeld(false);
      Schedule(0);
      return;
    }
    Schedule(options.ttl_ms / (Ok(renewed) ? 3 : 10));
  }

  void Drop() {
    store.RevokeLease(std::exchange(lease, {}), [](result<done>) {});
  }

  void SetHeld(bool now) {
    if (std::exchange(held, now) != now) on_change(now);
  }

  void Schedule(millis after) {
    if (stopped) return;
    timer.expires_after(std::chrono::milliseconds(after));
    timer.async_wait(
        [weak = weak_from_this()](boost::system::error_code error) {
          const auto self = weak.lock();
          if (self && !error && !self->stopped) self->Step();
        });
  }

  kv_store& store;
  duty_lease_options options;
  std::function<void(bool)> on_change;
  boost::asio::steady_timer timer;
  std::string lease;
  millis sent_at = 0;
  millis valid_until = 0;
  bool held = false;
  bool stopped = false;
};

duty_lease::duty_lease(boost::asio::io_context& io, kv_store& store,
                       duty_lease_options options,
                       std::function<void(bool)> on_change)
    : impl_(std::make_shared<impl>(io, store, std::move(options),
                                   std::move(on_change))) {
  impl_->Step();
}

duty_lease::~duty_lease() {
  impl_->stopped = true;
  impl_->timer.cancel();
}

bool duty_lease::Held() const {
  return impl_->held && impl_->options.clock.Now() < impl_->valid_until;
}

void duty_lease::Release(std::function<void()> completion) {
  impl_->stopped = true;
  impl_->timer.cancel();
  impl_->held = false;
  if (impl_->lease.empty()) {
    completion();
    return;
  }
  impl_->store.RevokeLease(
      std::exchange(impl_->lease, {}),
      [completion = std::move(completion)](result<done>) { completion(); });
}

}  // namespace radishwing::platform

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/node/host_controller_impl.h"
#include "src/node/record_keys.h"

// The part of host_controller that sends orders to hosts. The record of the
// orders in the store names each order before it is sent, so that the next
// leader knows what may still be carried out. The fencing token of an order is
// the revision of that write: a later order to the same host makes the host
// service refuse an earlier one that it has not carried out yet.

namespace radishwing::node {
namespace {

// Delay before a failed read of the record is repeated. The leader is not ready
// before it has the record.
constexpr millis kLoadRetryDelayMs = 150;

}  // namespace

void host_controller::impl::LoadOrders() {
  context.store->Get(
      HostOrdersKey(),
      [weak = weak_from_this()](const result<store::store_item>& item) {
        const auto self = weak.lock();
        if (!self) return;
        if (!Ok(item)) {
          self->load_timer.expires_after(
              std::chrono::milliseconds(kLoadRetryDelayMs));
          self->load_timer.async_wait([weak](boost::system::error_code error) {
            const auto locked = weak.lock();
            if (!error && locked) locked->LoadOrders();
          });
          return;
        }
        self->record_revision = Value(item).revision;
        self->stored_orders = DecodeHostOrders(Value(item).value);
        for (const auto& [host, order] : self->stored_orders) {
          self->open_orders[host] = {.order = order,
                                     .phase = order_phase::kUnanswered,
                                     .is_repeat = true};
          if (order.IsMove()) {
            self->pending_moves[host] = {order.new_pool,
                                         self->context.now.Now(), order.runner};
          }
        }
        self->orders_loaded = true;
        self->hooks.orders_loaded();
      });
}

void host_controller::impl::QueueOrder(const std::string& host,
                                       host_order order) {
  open_orders[host] = {.order = std::move(order)};
}

bool host_controller::impl::MayRepeat(const host_order& order,
                                      const fleet::host_info& host) {
  const millis now = context.now.Now();
  if (order.IsMove()) {
    if (!IsHostListCurrent() || !IsPauseOver(host)) return false;
  } else {
    const auto wave = waves.find(order.wave);
    const bool progress_known =
        wave == waves.end() || wave->second.progress_loaded;
    if (now < waves_allowed_at || !progress_known) return false;
  }
  for (const std::string& runner : {order.runner, host.runner}) {
    if (scheduler.FindRunner(runner) &&
        !scheduler.Evacuate(runner, true, now)) {
      return false;
    }
  }
  return true;
}

bool host_controller::impl::IsMaintenanceKnownAsStarted(
    const std::string& host, const host_order& order) const {
  const auto wave = waves.find(order.wave);
  return wave != waves.end() &&
         wave->second.progress.started_hosts.contains(host);
}

void host_controller::impl::RepeatUnansweredOrders() {
  for (auto it = open_orders.begin(); it != open_orders.end();) {
    const std::string name = it->first;
    open_order& open = (it++)->second;
    if (open.phase != order_phase::kUnanswered ||
        context.now.Now() < open.retry_at) {
      continue;
    }
    const fleet::host_info* host = FindHost(name);
    if (!host || IsMaintenanceKnownAsStarted(name, open.order)) {
      DropOrder(name);
    } else if (MayRepeat(open.order, *host)) {
      open.phase = order_phase::kQueued;
    }
  }
}

void host_controller::impl::StoreOrders() {
  if (record_write_in_flight || fenced) return;
  host_orders orders;
  std::vector<std::string> queued;
  for (const auto& [host, open] : open_orders) {
    orders[host] = open.order;
    if (open.phase == order_phase::kQueued) queued.push_back(host);
  }
  if (queued.empty() && orders == stored_orders) return;
  record_write_in_flight = true;
  store::store_commit commit;
  commit.preconditions = {{ShardKey(), fencing_token},
                          {HostOrdersKey(), record_revision}};
  commit.writes = {{HostOrdersKey(), EncodeHostOrders(orders), 0}};
  context.store->Commit(commit,
                        [weak = weak_from_this(), queued,
                         orders](const result<store::commit_outcome>& outcome) {
                          if (const auto self = weak.lock()) {
                            self->OnOrdersStored(queued, orders, outcome);
                          }
                        });
}

void host_controller::impl::OnOrdersStored(
    const std::vector<std::string>& queued, host_orders written,
    const result<store::commit_outcome>& outcome) {
  record_write_in_flight = false;
  if (!Ok(outcome)) {
    context.log.Warning(
        "hosts", "host orders not stored, error=" + Error(outcome).message);
    return;  // The next Tick() writes the record again.
  }
  if (!Value(outcome).committed) {
    // An earlier write was applied although it got no response.
    for (const store::store_item& item : Value(outcome).current) {
      if (item.key == HostOrdersKey()) record_revision = item.revision;
    }
    return;
  }
  record_revision = Value(outcome).revision;
  stored_orders = std::move(written);
  for (const std::string& host : queued) SendOrder(host, record_revision);
  const bool has_queued =
      std::ranges::any_of(open_orders, [](const auto& entry) {
        return entry.second.phase == order_phase::kQueued;
      });
  // Orders that ended in the meantime leave the record with the next Tick().
  if (has_queued && hooks.may_order_hosts()) StoreOrders();
}

void host_controller::impl::SendOrder(const std::string& host,
                                      std::uint64_t token) {
  const auto it = open_orders.find(host);
  if (it == open_orders.end() || it->second.phase != order_phase::kQueued) {
    return;
  }
  // Another order may have taken the place of the one that was written.
  const auto stored = stored_orders.find(host);
  if (stored == stored_orders.end() || stored->second != it->second.order) {
    return;
  }
  it->second.phase = order_phase::kInFlight;
  last_order_at = context.now.Now();
  const host_order& order = it->second.order;
  auto on_outcome = [weak = weak_from_this(),
                     host](fleet::order_outcome outcome) {
    if (const auto self = weak.lock()) self->ApplyOrderOutcome(host, outcome);
  };
  if (order.IsMove()) {
    host_service_client->Move(host, order.new_pool, token,
                              std::move(on_outcome));
  } else {
    host_service_client->BeginMaintenance(host, order.wave, token,
                                          std::move(on_outcome));
  }
}

void host_controller::impl::ApplyOrderOutcome(const std::string& host,
                                              fleet::order_outcome outcome) {
  using fleet::order_outcome;
  open_order& open = open_orders.at(host);
  const open_order sent = open;
  const bool is_final = outcome == order_outcome::kAccepted ||
                        outcome == order_outcome::kInvalid ||
                        outcome == order_outcome::kNotInWave;
  if (outcome == order_outcome::kUnknown || (sent.is_repeat && !is_final)) {
    open.phase = order_phase::kUnanswered;
    open.is_repeat = true;
    open.retry_at = context.now.Now() + kHostOrderRetryMs;
  } else {
    open_orders.erase(host);
  }
  // Another node controls the hosts, so this term sends no more orders.
  if (outcome == order_outcome::kFenced) fenced = true;
  if (sent.order.IsMove()) {
    ApplyMoveOutcome(host, sent, outcome);
  } else {
    ApplyMaintenanceOutcome(host, sent, outcome);
  }
}

void host_controller::impl::DropOrder(const std::string& host) {
  const auto it = open_orders.find(host);
  if (it != open_orders.end() && it->second.phase != order_phase::kInFlight) {
    open_orders.erase(it);
  }
}

}  // namespace radishwing::node

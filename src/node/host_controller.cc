#include "src/node/host_controller.h"

#include <utility>

#include "src/node/host_controller_impl.h"
#include "src/sched/term_lease.h"

namespace radishwing::node {
namespace {

constexpr millis kHostListIntervalMs = 500;
constexpr millis kCongestedHostListIntervalMs = 1500;

}  // namespace

const fleet::host_info* host_controller::impl::FindHost(
    const std::string& name) const {
  const auto it = listed_hosts.find(name);
  return it == listed_hosts.end() ? nullptr : &it->second;
}

void host_controller::impl::RequestHostList() {
  const millis now = context.now.Now();
  const millis interval = context.MeasuredLink().IsCongested()
                              ? kCongestedHostListIntervalMs
                              : kHostListIntervalMs;
  if (list_in_flight || now - list_requested_at < interval) return;
  if (!host_service_client) {
    auto made = platform::host_client::Make(
        context.io, {context.settings.host_api_address, context.settings.name,
                     sched::kHostOrderTimeoutMs, hooks.may_order_hosts,
                     context.LinkHooks("host_service")});
    if (!Ok(made)) return;
    host_service_client = std::move(Value(made));
  }
  list_in_flight = true;
  list_requested_at = now;
  host_service_client->List(
      [weak = weak_from_this()](result<std::vector<fleet::host_info>> listed) {
        const auto self = weak.lock();
        if (!self) return;
        self->list_in_flight = false;
        if (Ok(listed)) {
          self->listed_hosts_as_of = self->list_requested_at;
          self->listed_hosts.clear();
          std::set<std::string> runners;
          for (fleet::host_info& host : Value(listed)) {
            if (!host.runner.empty()) runners.insert(host.runner);
            self->listed_hosts[host.name] = std::move(host);
          }
          self->hooks.hosts_listed(runners, self->list_requested_at);
          self->ConfirmEndedRunners();
        } else {
          self->context.log.Warning(
              "hosts", "host list failed, error=" + Error(listed).message);
        }
      });
}

bool host_controller::impl::IsHostListCurrent() const {
  return listed_hosts_as_of >= term_began_at + kMaxOrderInFlightMs;
}

bool host_controller::impl::IsPauseOver(const fleet::host_info& host) const {
  return move_pause.HasElapsed(context.now.Now(),
                               scheduler.FindRunner(host.runner));
}

void host_controller::impl::Tick() {
  if (fenced) return;
  for (auto& [number, wave] : waves) {
    const millis now = context.now.Now();
    if (wave.progress_loaded || now < wave.next_load_at) continue;
    wave.next_load_at = now + kHostOrderRetryMs;
    LoadWaveProgress(number);
  }
  RequestHostList();
  if (listed_hosts.empty() || !orders_loaded) return;
  RemoveEndedMoves();
  ApplyHolds();
  ReportHolds();
  for (auto& [number, wave] : waves) {
    if (wave.progress_loaded) NoteListedHosts(wave);
  }
  if (!hooks.may_order_hosts()) return;
  RepeatUnansweredOrders();
  for (auto& [number, wave] : waves) {
    if (wave.progress_loaded && !wave.reported_finished) ContinueWave(wave);
  }
  if (IsHostListCurrent()) PlanMoves();
  StoreOrders();
}

host_controller::host_controller(node_context& context, const election& won,
                                 sched::scheduler& scheduler,
                                 host_controller_hooks hooks)
    : impl_(std::make_shared<impl>(context, won, scheduler, std::move(hooks))) {
  impl_->LoadOrders();
}

host_controller::~host_controller() { impl_->load_timer.cancel(); }

bool host_controller::OrdersLoaded() const { return impl_->orders_loaded; }

void host_controller::ApplyHolds() { impl_->ApplyHolds(); }

void host_controller::AddWave(const fleet::wave_request& wave) {
  auto& state = impl_->waves[wave.number];
  if (state.request.number == wave.number && !state.request.hosts.empty()) {
    return;
  }
  state.request = wave;
  state.known_since = impl_->context.now.Now();
  impl_->context.log.Info(
      "hosts", "wave requested, wave=" + std::to_string(wave.number) +
                   " hosts=" + std::to_string(wave.hosts.size()) +
                   " max_down=" + std::to_string(wave.max_down) +
                   " duration_ms=" + std::to_string(wave.time_limit_ms));
}

millis host_controller::TimeSinceLastOrder() const {
  return impl_->context.now.Now() - impl_->last_order_at;
}

void host_controller::Tick() { impl_->Tick(); }

}  // namespace radishwing::node

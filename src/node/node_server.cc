#include "src/node/node_server.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <utility>

#include "platform/config_codec.h"
#include "platform/store_keys.h"
#include "src/http/server.h"
#include "src/node/client_api.h"
#include "src/node/leader.h"
#include "src/node/membership.h"
#include "src/node/peer_service.h"
#include "src/node/store_watch.h"

namespace radishwing::node {
namespace {

// Short, because the configuration is known to be current only as of the
// beginning of the last watch call that has ended.
constexpr millis kOperatorWatchWaitMs = 450;
// The readiness check fails if the configuration was last known to be the
// newest version at least this long ago.
constexpr millis kMaxReadyConfigAgeMs = 3000;
// Part of shutdown_grace_ms that is reserved for the responses to the last
// client requests.
constexpr millis kStopMarginMs = 1500;
constexpr millis kStopPollMs = 50;
constexpr millis kTrafficLogIntervalMs = 5000;
// Time after which a leader that is still loading may step down. Several times
// what loading takes on a wide link, so that nodes which are elected while
// larger ones cannot campaign yet do not resign in turn.
constexpr millis kMinLoadBeforeStepDownMs = 2000;

}  // namespace

struct node_server::impl : std::enable_shared_from_this<node_server::impl> {
  impl(boost::asio::io_context& io, fleet::node_settings settings,
       std::function<void()> stopped)
      : context(io, std::move(settings)),
        peers(io, context.LinkHooks("nodes")),
        on_stopped(std::move(stopped)),
        stop_timer(io),
        traffic_timer(io) {}

  result<success> Start();
  result<success> MakeStore();
  result<success> ListenAll();
  http::server_response MetricsResponse();
  std::string PeerAddress() const;  ///< Address for calls from other nodes.
  /// `callers` names the callers of the server in the traffic counters.
  result<std::unique_ptr<http::server>> Listen(const std::string& address,
                                               std::string_view callers,
                                               http::server::handler handler);
  /// Sets which data centres the operator evacuates.
  void SetEvacuatedDataCentres(std::set<std::string> data_centres);
  /// Logs the traffic once every kTrafficLogIntervalMs.
  void LogTraffic();
  void WatchOperatorKeys();
  void ApplyOperatorItem(const store::store_item& item);
  void StartMembership();
  void StartLeader(const election& won);
  /// Hands over the leadership: stores the ends of finished runs, then resigns.
  void HandOverLeadership();
  void EndLeadershipAndResign();
  /// Deletes the leader object, which ends this node's term in this process
  /// only; ShardKey() is not changed.
  void EndLeadership();
  http::server_response ReadinessResponse();
  /// Waits for kStopPollMs, then continues the shutdown if it is due.
  /// `deadline` is the time when client requests are no longer accepted.
  void PollStop(millis deadline);

  node_context context;
  /// Used by calls of `peers`.
  sched::relay_choice relays{std::hash<std::string>{}(context.settings.name)};
  peer_client peers;  ///< HTTP client for calls to other nodes.
  std::function<void()> on_stopped;
  boost::asio::steady_timer stop_timer;
  boost::asio::steady_timer traffic_timer;
  std::unique_ptr<client_api> client_api_handler;
  std::unique_ptr<peer_service> peer_handler;
  std::unique_ptr<http::server> client_api_server;
  std::unique_ptr<http::server> readiness_server;
  std::unique_ptr<http::server> peer_server;
  std::unique_ptr<http::server> metrics_server;
  std::unique_ptr<store_watch> operator_watch;
  std::unique_ptr<membership> cluster_membership;
  std::unique_ptr<leader> local_leader;  ///< Null unless this node leads.
  /// Maintenance waves that the operator requested, keyed by wave number.
  std::map<std::int64_t, fleet::wave_request> requested_waves;
  /// True if the last message about the store said that it is unreachable;
  /// avoids repeated messages.
  bool logged_store_unreachable = false;
};

result<success> node_server::impl::MakeStore() {
  auto relay =
      [this](platform::raw_store_request call,
             std::function<void(result<platform::raw_store_response>)> done) {
        RelayThroughPeers(context, peers, relays, std::move(call),
                          std::move(done));
      };
  auto observe = [this](const platform::store_call_report& call) {
    context.metrics.CountStoreCall(call.kind, call.outcome, call.took);
    const bool call_failed = call.outcome != "ok";
    if (call.kind != "watch" &&
        call_failed != (context.store_unreachable_since >= 0)) {
      context.store_unreachable_since = call_failed ? context.now.Now() : -1;
    }
    if (call_failed == logged_store_unreachable) return;
    logged_store_unreachable = call_failed;
    context.log.Info(
        "store",
        std::string(call_failed ? "store unreachable" : "store reachable") +
            ", call=" + std::string(call.kind) +
            " outcome=" + std::string(call.outcome) +
            " took_ms=" + std::to_string(call.took) +
            (call.error.empty() ? "" : " error=" + std::string(call.error)));
  };
  platform::store_client::hooks hooks;
  hooks.relay = std::move(relay);
  hooks.observe = std::move(observe);
  hooks.link = context.LinkHooks("store");
  auto made = platform::store_client::Make(
      context.io, context.settings.store_address, std::move(hooks));
  if (!Ok(made)) return Error(made);
  context.store = std::move(Value(made));
  return success{};
}

result<std::unique_ptr<http::server>> node_server::impl::Listen(
    const std::string& address, std::string_view callers,
    http::server::handler handler) {
  http::server_options options;
  options.address = address;
  options.count_traffic = context.metrics.Traffic().Hook(callers);
  options.max_body_bytes = 2u << 20;
  return http::server::Make(context.io, options, std::move(handler));
}

http::server_response node_server::impl::MetricsResponse() {
  if (local_leader) local_leader->SetGauges();
  context.metrics.SetConfigAge(context.now.Now() - context.config_current_at);
  http::server_response response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = context.metrics.Serialize();
  return response;
}

std::string node_server::impl::PeerAddress() const {
  if (peer_server) return peer_server->Address();
  return context.settings.ip + ":" +
         std::to_string(context.settings.first_port);
}

result<success> node_server::impl::ListenAll() {
  struct listener {
    std::string address;
    std::string_view callers;
    http::server::handler handler;
    std::unique_ptr<http::server>* server;
  };
  const listener listeners[] = {
      {context.settings.client_api_address, "clients",
       [this](const http::server_request& request, auto respond) {
         client_api_handler->Handle(request, std::move(respond));
       },
       &client_api_server},
      {context.settings.readiness_address, "probes",
       [this](const http::server_request&, const auto& respond) {
         respond(ReadinessResponse());
       },
       &readiness_server},
      {PeerAddress(), "nodes",
       [this](const http::server_request& request, auto respond) {
         peer_handler->Handle(request, std::move(respond));
       },
       &peer_server},
      {context.settings.metrics_address, "metrics",
       [this](const http::server_request&, const auto& respond) {
         respond(MetricsResponse());
       },
       &metrics_server}};
  for (const listener& entry : listeners) {
    auto made = Listen(entry.address, entry.callers, entry.handler);
    if (!Ok(made)) return Error(made);
    *entry.server = std::move(Value(made));
  }
  return success{};
}

result<success> node_server::impl::Start() {
  auto store = MakeStore();
  if (!Ok(store)) return store;
  const auto local = [this] { return local_leader.get(); };
  client_api_handler = std::make_unique<client_api>(context, peers, local);
  peer_handler = std::make_unique<peer_service>(context, local);
  auto listening = ListenAll();
  if (!Ok(listening)) return listening;
  WatchOperatorKeys();
  StartMembership();
  LogTraffic();
  context.log.InfoUnlimited(
      "node", "started, node=" + context.settings.name +
                  " data_centre=" + context.settings.data_centre +
                  " front=" + context.settings.client_api_address +
                  " peer=" + PeerAddress());
  return success{};
}

void node_server::impl::WatchOperatorKeys() {
  store_watch_options options;
  options.prefix = platform::kOperatorKeyPrefix;
  options.wait_ms = kOperatorWatchWaitMs;
  options.skip_superseded_values = true;
  store_watch_hooks hooks;
  hooks.snapshot = [this](const std::vector<store::store_item>& items) {
    std::set<std::string> evacuated;
    for (const store::store_item& item : items) {
      if (item.key.starts_with(platform::kEvacuationKeyPrefix)) {
        evacuated.insert(
            item.key.substr(platform::kEvacuationKeyPrefix.size()));
      } else {
        ApplyOperatorItem(item);
      }
    }
    SetEvacuatedDataCentres(std::move(evacuated));
  };
  hooks.change = [this](const store::store_item& item) {
    ApplyOperatorItem(item);
  };
  hooks.caught_up = [this](millis asked_at) {
    if (context.config) {
      context.config_current_at = std::max(context.config_current_at, asked_at);
    }
  };
  operator_watch =
      std::make_unique<store_watch>(context.io, *context.store, context.now,
                                    std::move(options), std::move(hooks));
}

void node_server::impl::SetEvacuatedDataCentres(
    std::set<std::string> data_centres) {
  if (data_centres == context.evacuated_data_centres) return;
  context.evacuated_data_centres = std::move(data_centres);
  context.metrics.SetEvacuatedDataCentres(
      context.evacuated_data_centres.size());
  std::string names;
  for (const std::string& name : context.evacuated_data_centres) {
    names += (names.empty() ? "" : ",") + name;
  }
  context.log.InfoUnlimited("config",
                            "evacuations changed, data_centres=" + names);
  if (local_leader) local_leader->ApplyEvacuations();
}

void node_server::impl::ApplyOperatorItem(const store::store_item& item) {
  if (item.key.starts_with(platform::kEvacuationKeyPrefix)) {
    std::set<std::string> data_centres = context.evacuated_data_centres;
    const std::string name =
        item.key.substr(platform::kEvacuationKeyPrefix.size());
    if (item.revision == 0) {
      data_centres.erase(name);
    } else {
      data_centres.insert(name);
    }
    return SetEvacuatedDataCentres(std::move(data_centres));
  }
  if (item.revision == 0) return;
  if (item.key == platform::kConfigKey) {
    auto config = platform::DecodeConfig(item.value);
    if (!Ok(config)) {
      context.log.Warning("config", "configuration unreadable, revision=" +
                                        std::to_string(item.revision));
      return;
    }
    const std::uint64_t version = Value(config).version;
    if (context.config && version <= context.config->version) return;
    context.config =
        std::make_shared<fleet::fleet_config>(std::move(Value(config)));
    context.metrics.SetConfigVersion(version);
    context.log.InfoUnlimited(
        "config",
        "configuration applied, version=" + std::to_string(version) +
            " revision=" + std::to_string(item.revision) +
            " queues=" + std::to_string(context.config->queues.size()) +
            " teams=" + std::to_string(context.config->teams.size()));
    if (local_leader) local_leader->ApplyConfig();
    return;
  }
  if (!item.key.starts_with(platform::kWaveRequestKeyPrefix)) return;
  const auto wave = platform::DecodeWaveRequest(item.value);
  if (!Ok(wave)) {
    context.log.Warning("hosts", "wave unreadable, key=" + item.key);
    return;
  }
  requested_waves[Value(wave).number] = Value(wave);
  if (local_leader) local_leader->AddMaintenanceWave(Value(wave));
}

void node_server::impl::LogTraffic() {
  traffic_timer.expires_after(std::chrono::milliseconds(kTrafficLogIntervalMs));
  traffic_timer.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self) return;
        const std::string bytes = self->context.metrics.Traffic().TakeSummary();
        if (!bytes.empty()) {
          self->context.log.Info(
              "node", "traffic in bytes, interval_ms=" +
                          std::to_string(kTrafficLogIntervalMs) + " " + bytes);
        }
        self->LogTraffic();
      });
}

void node_server::impl::StartMembership() {
  membership_hooks hooks;
  hooks.elected = [this](const election& won) { StartLeader(won); };
  hooks.lease_renewed = [this](millis sent_at) {
    if (!local_leader) return;
    local_leader->RecordLeaseRenewal(sent_at);
    if (!local_leader->Ready() &&
        local_leader->TimeSinceElection() < kMinLoadBeforeStepDownMs) {
      return;
    }
    // If this node cannot reach the store directly, a peer relayed the renewal.
    // That peer reaches the store, so a node with direct access can lead.
    const bool store_unreachable = context.IsStoreUnreachable();
    if (!store_unreachable && !cluster_membership->ShouldStepDown()) return;
    context.log.InfoUnlimited(
        "leader", std::string("stepping down, fence=") +
                      std::to_string(local_leader->FencingToken()) + " why=" +
                      (store_unreachable ? "store unreachable"
                                         : "larger node available"));
    if (local_leader->Ready()) {
      HandOverLeadership();
    } else {
      // There is nothing to store yet, and loading may take long.
      EndLeadershipAndResign();
    }
  };
  hooks.leadership_lost = [this] { EndLeadership(); };
  cluster_membership =
      std::make_unique<membership>(context, PeerAddress(), std::move(hooks));
}

void node_server::impl::StartLeader(const election& won) {
  context.metrics.SetLeading(true);
  local_leader =
      std::make_unique<leader>(context, won, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->EndLeadershipAndResign();
      });
  for (const auto& [number, wave] : requested_waves)
    local_leader->AddMaintenanceWave(wave);
}

void node_server::impl::HandOverLeadership() {
  local_leader->HandOver([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->EndLeadershipAndResign();
  });
}

void node_server::impl::EndLeadershipAndResign() {
  const millis host_order_age_ms =
      local_leader ? local_leader->HostOrderAge() : 0;
  EndLeadership();
  cluster_membership->Resign(host_order_age_ms);
}

void node_server::impl::EndLeadership() {
  context.metrics.SetLeading(false);
  // The leader object is deleted later, because one of its own functions may be
  // the caller.
  boost::asio::post(
      context.io,
      [ended_leader = std::shared_ptr<leader>(std::move(local_leader))] {});
}

http::server_response node_server::impl::ReadinessResponse() {
  const bool config_is_current =
      context.config && context.ConfigAge() < kMaxReadyConfigAgeMs;
  http::server_response response;
  response.status = config_is_current && !context.stopping ? 200 : 503;
  response.body = "{}";
  return response;
}

void node_server::impl::PollStop(millis deadline) {
  stop_timer.expires_after(std::chrono::milliseconds(kStopPollMs));
  stop_timer.async_wait(
      [weak = weak_from_this(), deadline](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self) return;
        if (self->context.now.Now() < deadline) return self->PollStop(deadline);
        self->client_api_server->Drain();
        if (self->client_api_server->RequestsInFlight() > 0 &&
            self->context.now.Now() < deadline + kStopMarginMs / 2) {
          return self->PollStop(deadline);
        }
        self->cluster_membership->Leave([weak] {
          const auto self = weak.lock();
          if (!self) return;
          self->context.log.InfoUnlimited(
              "node",
              "stopped, cut_off=" +
                  std::to_string(self->client_api_server->RequestsInFlight()));
          self->on_stopped();
        });
      });
}

node_server::node_server(std::shared_ptr<impl> impl) : impl_(std::move(impl)) {}
node_server::~node_server() = default;

result<std::unique_ptr<node_server>> node_server::Make(
    boost::asio::io_context& io, fleet::node_settings settings,
    std::function<void()> stopped) {
  auto state =
      std::make_shared<impl>(io, std::move(settings), std::move(stopped));
  auto started = state->Start();
  if (!Ok(started)) return Error(started);
  return std::unique_ptr<node_server>(new node_server(std::move(state)));
}

std::string node_server::ClientApiAddress() const {
  return impl_->client_api_server->Address();
}

void node_server::RecoverFromError(std::string_view error) {
  impl_->context.log.InfoUnlimited(
      "node", "unexpected error, leading=" +
                  std::string(impl_->local_leader ? "1" : "0") +
                  " error=" + std::string(error));
  if (impl_->local_leader) impl_->EndLeadershipAndResign();
}

void node_server::Reload(const fleet::node_settings& settings) {
  fleet::node_settings& applied = impl_->context.settings;
  applied.shutdown_grace_ms = settings.shutdown_grace_ms;
  applied.key_revocation_ms = settings.key_revocation_ms;
  applied.config_propagation_ms = settings.config_propagation_ms;
  applied.max_lease_ms = settings.max_lease_ms;
  applied.max_stop_ms = settings.max_stop_ms;
  applied.host_controller_pause_ms = settings.host_controller_pause_ms;
  applied.job_status_retention_ms = settings.job_status_retention_ms;
  applied.disruption_window_ms = settings.disruption_window_ms;
  applied.max_over_target_ms = settings.max_over_target_ms;
  applied.remote_factor = settings.remote_factor;
  impl_->context.log.InfoUnlimited("node",
                                   "settings reloaded, node=" + applied.name);
}

void node_server::Stop() {
  impl_->context.stopping = true;
  impl_->context.log.InfoUnlimited(
      "node", "stopping, requests=" +
                  std::to_string(impl_->client_api_server->RequestsInFlight()));
  if (impl_->local_leader) impl_->HandOverLeadership();
  impl_->PollStop(impl_->context.now.Now() +
                  impl_->context.settings.shutdown_grace_ms - kStopMarginMs);
}

}  // namespace radishwing::node

#include "src/control/control_core.h"

#include <algorithm>
#include <utility>

#include "src/base/log.h"
#include "src/control/control_metrics.h"
#include "src/control/peer_session.h"

namespace radishwing::control {
namespace {

rpc::hello Self(const control_options& options, const std::string& bound) {
  return {
      options.host, options.data_centre, options.incarnation,
      options.advertised_address.empty() ? bound : options.advertised_address};
}

}  // namespace

control_core::control_core(kj::AsyncIoContext& io, control_options options,
                           platform_seam platform, store_port::poster post)
    : io_(io),
      timer_(io.provider->getTimer()),
      options_(std::move(options)),
      table_(options_.incarnation),
      entries_(timer_, clock_, options_.timing, settings_, table_),
      store_(timer_, clock_, options_.timing, std::move(platform),
             std::move(post)),
      peer_handlers_(std::make_shared<peer_handlers>()),
      gate_(io, {options_.fleet_secret, Self(options_, "")},
            {[this](const rpc::hello& who, rpc::connection_closer close) {
               return entries_.Open(who, std::move(close));
             },
             [this](const rpc::hello& who,
                    rpc::connection_closer) -> rpc::Peer::Client {
               // It may be new, or have opened the link again after an answer
               // that it did not get.
               if (mesh_) mesh_->Members().ForgetTold(who.host);
               return kj::heap<peer_session>(peer_handlers_);
             }}),
      tasks_(*this) {
  entries_.cut_off_ms = [this] { return CutOffMs(); };
}

kj::Promise<std::string> control_core::Start() {
  return gate_.Listen(options_.rpc_address).then([this](std::string bound) {
    StartDuties(bound);
    return bound;
  });
}

void control_core::StartDuties(const std::string& bound) {
  rpc::hello self = Self(options_, bound);
  gate_.SetSelf(self);
  mesh_ = std::make_unique<peer_mesh>(io_, clock_, options_, self);
  relay_ = std::make_unique<settings_relay>(timer_, clock_, options_, store_,
                                            *mesh_, settings_);
  poller_ = std::make_unique<fleet_poller>(timer_, clock_, options_, store_,
                                           settings_, table_);
  operators_ = std::make_unique<operator_service>(clock_, options_, store_,
                                                  settings_, *mesh_);
  tokens_of_teams_ = std::make_unique<token_service>(timer_, clock_, options_,
                                                     store_, *mesh_, settings_);
  recovery_ = std::make_unique<token_recovery_duty>(
      timer_, clock_, options_, store_, *mesh_, settings_, *tokens_of_teams_);
  WirePeers();
  WireTokens();
  claims_ = std::make_unique<claim_service>(timer_, clock_, options_, store_,
                                            *mesh_, settings_, entries_);
  WireClaims();
  claims_->Start();
  tokens_of_teams_->Start();
  recovery_->Start();
  relay_->Start();
  poller_->Start();
  StartHosts();
  Tick();
}

void control_core::StartHosts() {
  board_ = std::make_unique<host_board>(timer_, clock_, options_, store_,
                                        *mesh_, settings_, *poller_, entries_,
                                        claims_->RosterWatch());
  host_duty_ =
      std::make_unique<host_duty>(timer_, clock_, options_, store_, *board_);
  host_duty_->cut_off_ms = [this] { return CutOffMs(); };
  fleet_ = std::make_unique<fleet_service>(store_, *board_);
  jobs_ = std::make_unique<job_link>(timer_, options_, store_, *board_,
                                     *tokens_of_teams_);
  job_operators_ = std::make_unique<job_operators>(store_, *jobs_);
  waves_ = std::make_unique<wave_board>(*board_);
  explain_ = std::make_unique<explain_service>(*board_, *host_duty_,
                                               *tokens_of_teams_);
  explain_->cut_off_ms = [this] { return CutOffMs(); };
  host_duty_->plans.push_back([this] { return waves_->Wanted(); });
  board_->jobs_on = [this](const std::string& host) { return jobs_->On(host); };
  entries_.handlers.job = [this](const rpc::job_request& request) {
    return jobs_->Handle(request);
  };
  board_->Start();
  host_duty_->Start();
  jobs_->Start();
}

void control_core::WirePeers() {
  mesh_->fill = [this](peer_digest& digest) { FillDigest(digest); };
  mesh_->on_digest = [this](const peer_digest& digest) {
    relay_->OnDigest(digest.from, digest.settings_revision);
    tokens_of_teams_->OnDigest(digest);
    board_->OnDigest(digest);
  };
  peer_handlers_->exchange = [this](const peer_digest& received) {
    return mesh_->Exchange(received);
  };
  peer_handlers_->newest_settings = [this] { return settings_.Text(); };
  peer_handlers_->offer_settings = [this](const rpc::settings_text& offered) {
    settings_.Offer(offered, "peer");
    return settings_.Revision();
  };
}

void control_core::WireTokens() {
  token_service* tokens = tokens_of_teams_.get();
  entry_handlers& entry = entries_.handlers;
  entry.on_opened = [tokens](const std::string& owner, const auto& held) {
    tokens->OnOpened(owner, held);
  };
  entry.on_broken = [tokens](const std::string& owner) {
    tokens->OnBroken(owner);
  };
  entry.acquire = [tokens](const std::string& owner, const std::string& team,
                           std::uint32_t want) {
    return tokens->Acquire(owner, team, want);
  };
  entry.give_back = [tokens](const std::string& owner,
                             const rpc::token_grant& given) {
    tokens->GiveBack(owner, given);
  };
  peer_handlers_->lend = [tokens](const std::string& team, std::uint64_t epoch,
                                  std::uint32_t want,
                                  const std::string& taker) {
    return tokens->Lend(team, epoch, want, taker);
  };
  peer_handlers_->balance = [tokens](const std::string& team,
                                     std::uint64_t epoch) {
    return tokens->Balance(team, epoch);
  };
  settings_.OnChange([this] {
    millis longest = 0;
    for (const auto& [name, service] : settings_.Tree()->services) {
      longest = std::max(longest, service.longest_run_seconds * 1000);
    }
    entries_.entry_gone_ms = longest;
  });
}

void control_core::WireClaims() {
  claim_service* claims = claims_.get();
  entries_.handlers.claim = [claims](const requests::claim& claim) {
    return claims->Claim(claim);
  };
  entries_.handlers.finish =
      [claims](const std::string& id, const std::string& owner,
               requests::outcome outcome, std::uint16_t status) {
        return claims->Finish(id, owner, outcome, status);
      };
  entries_.handlers.cancel = [claims](const std::string& id,
                                      const std::string& team) {
    return claims->Cancel(id, team);
  };
  peer_handlers_->claim = [claims](const requests::claim& claim,
                                   std::uint64_t epoch) {
    return claims->ClaimAsPrimary(claim, epoch);
  };
  peer_handlers_->replicate = [claims](const requests::claim& claim,
                                       std::uint64_t epoch) {
    return claims->Replicate(claim, epoch);
  };
  peer_handlers_->finish =
      [claims](const std::string& id, const std::string& owner,
               requests::outcome outcome, std::uint16_t status) {
        claims->FinishHere(id, owner, outcome, status);
      };
  peer_handlers_->cancel = [claims](const std::string& id,
                                    const std::string& team) {
    return claims->CancelHere(id, team);
  };
  peer_handlers_->hand_over = [claims](std::uint64_t epoch, const auto& list,
                                       const auto& answers) {
    return claims->AcceptHandOver(epoch, list, answers);
  };
}

void control_core::Close() {
  stopping_ = true;
  if (options_.registry != nullptr) {
    options_.registry->Gauge(metrics::metric::kReady).Set(0);
  }
}

void control_core::Stop(std::function<void()> completion) {
  Close();
  // A store that does not answer must not keep the process.
  kj::Duration bound = 3 * options_.timing.store_deadline_ms * kj::MILLISECONDS;
  tasks_.add(timer_.timeoutAfter(bound, StopDuties())
                 .catch_([](kj::Exception&& reason) {
                   LogWarning("control",
                              std::string("stop incomplete, reason=") +
                                  reason.getDescription().cStr());
                 })
                 .then([completion] {
                   LogInfo("control", "duties stopped");
                   completion();
                 }));
}

kj::Promise<void> control_core::StopDuties() {
  poller_->Stop();
  board_->Stop();
  jobs_->Stop();
  return host_duty_->Stop()
      .then([this] { return recovery_->Stop(); })
      .then([this] { return tokens_of_teams_->Stop(); })
      .then([this] { return claims_->Stop(); })
      .then([this] { return relay_->Stop(); })
      .then([this] { return mesh_->Leave(); });
}

void control_core::FillDigest(peer_digest& digest) {
  digest.settings_revision = settings_.Revision();
  tokens_of_teams_->Fill(digest);
  for (const auto& [host, record] : poller_->Sources().records) {
    if (record.state != "draining") continue;
    std::uint64_t version = poller_->VersionOf(host);
    auto use = entries_.HostUse(host, version);
    if (version == 0 || !use.confirmed) continue;
    auto jobs = jobs_->On(host);
    if (!jobs) continue;
    digest.confirmations.push_back({host, record.epoch, use.in_flight + *jobs});
  }
}

millis control_core::CutOffMs() const {
  millis contact = store_.LastContactMs();
  if (mesh_) contact = std::max(contact, mesh_->LastOutsideNewsMs());
  millis silent = clock_.Now() - contact;
  return silent > options_.timing.cut_off_after_ms ? silent : 0;
}

void control_core::Tick() {
  entries_.Tick();
  mesh_->Members().SetInForce(entries_.RevisionInForce(),
                              entries_.HostEpochsInForce());
  mesh_->Tick();
  for (const membership::member& row : mesh_->Rows()) jobs_->OnMember(row);
  tokens_of_teams_->Tick();
  recovery_->Tick();
  if (options_.registry != nullptr) UpdateMetrics(*this, *options_.registry);
  claims_->Tick();
  tasks_.add(
      timer_.afterDelay(options_.timing.members.heartbeat_ms * kj::MILLISECONDS)
          .then([this] { Tick(); }));
}

void control_core::taskFailed(kj::Exception&& exception) {
  LogError("control", std::string("task failed, reason=") +
                          exception.getDescription().cStr());
}

}  // namespace radishwing::control

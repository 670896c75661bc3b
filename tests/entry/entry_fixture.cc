#include "tests/entry/entry_fixture.h"

#include <chrono>

namespace radishwing::entry {

using requests::claim_answer;
using requests::claim_state;

bool WaitUntil(const std::function<bool()>& condition) {
  for (int i = 0; i < 20000; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

entry_fixture::entry_fixture() {
  settings.revision = 1;
  settings.name = "test";
  Team().share = 0.5;
  Team().upper_limit = 16;
  Team().keys.push_back({"k1", Sha256Hex("key-uva")});
  Service().pool = "main";
  Service().longest_run_seconds = 20;
  settings.pools["main"] = {};
  options.tick_ms = 5;
  MakePort();
}

entry_fixture::~entry_fixture() {
  server.reset();
  runners.clear();
}

void entry_fixture::MakePort() {
  port.acquire_tokens = [this](std::string_view team, std::uint32_t want,
                               auto completion) {
    std::lock_guard<std::mutex> lock(mutex_);
    std::uint32_t& out = tokens_out_[std::string(team)];
    std::uint32_t count = std::min(want, token_limit - out);
    out += count;
    completion(rpc::token_grant{std::string(team), count, 1});
  };
  port.return_tokens = [this](rpc::token_grant tokens) {
    std::lock_guard<std::mutex> lock(mutex_);
    tokens_out_[tokens.team] -= tokens.count;
  };
  on_claim = [this](const requests::claim& claim) {
    claim_answer& known = claims_[claim.request_id];
    claim_answer answer = known;
    if (known.state == claim_state::kUnavailable) {
      known.state = claim_state::kRunning;
      answer.state = claim_state::kFresh;
    }
    return result<claim_answer>(answer);
  };
  port.claim = [this](requests::claim claim, auto completion) {
    std::lock_guard<std::mutex> lock(mutex_);
    completion(on_claim(claim));
  };
  port.finish = [this](std::string_view id, std::string_view,
                       requests::outcome outcome, std::uint16_t status) {
    std::lock_guard<std::mutex> lock(mutex_);
    finished_.push_back({std::string(id), outcome, status});
    claims_[std::string(id)] = {claim_state::kFinished, outcome, status};
  };
  port.cancel_request = [](std::string_view, std::string_view,
                           auto completion) { completion(false); };
}

void entry_fixture::AddRunner(fake::runner_options runner_options) {
  std::string number = std::to_string(runners.size() + 1);
  runner_options.id = "runner-" + number;
  auto made = fake::runner_fake::Make(runner_options);
  routing::runner_info info;
  info.id = runner_options.id;
  info.service = "sums";
  info.host = "host-" + number;
  info.data_centre = "dc-1";
  info.address = Value(made)->Address();
  info.slots = runner_options.slots;
  infos.push_back(info);
  runners.push_back(std::move(Value(made)));
}

void entry_fixture::PushSnapshot() {
  rpc::snapshot snapshot;
  snapshot.settings =
      std::make_shared<const settings::fleet_settings>(settings);
  snapshot.table_version = ++table_version_;
  snapshot.runners = infos;
  snapshot.cut_off_ms = cut_off_ms;
  std::uint64_t version = table_version_;
  server->OnSnapshot(std::move(snapshot));
  WaitUntil([&] { return server->MakeReport().table_version >= version; });
}

void entry_fixture::Start(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) AddRunner();
  server = std::move(Value(entry_server::Make(options, port)));
  server->Start();
  server->OnConnected(true);
  PushSnapshot();
}

http_answer entry_fixture::Send(std::string_view method,
                                std::string_view target,
                                std::map<std::string, std::string> headers,
                                std::string_view body) {
  headers.emplace("Authorization", "Bearer key-uva");
  return Caller().Send(method, target, headers, body);
}

http_answer entry_fixture::SendIdempotent(std::string_view target) {
  return Send("GET", target, {{"Radishwing-Idempotent", "true"}});
}

std::size_t entry_fixture::Runs() const {
  std::size_t runs = 0;
  for (const auto& runner : runners) runs += runner->Records().size();
  return runs;
}

std::uint64_t entry_fixture::Attempts() const {
  std::uint64_t attempts = 0;
  for (const auto& runner : runners) attempts += runner->Attempts();
  return attempts;
}

std::uint32_t entry_fixture::TokensOut() {
  std::lock_guard<std::mutex> lock(mutex_);
  std::uint32_t out = 0;
  for (const auto& [team, count] : tokens_out_) out += count;
  return out;
}

std::vector<entry_fixture::finish_call> entry_fixture::Finished() {
  std::lock_guard<std::mutex> lock(mutex_);
  return finished_;
}

}  // namespace radishwing::entry

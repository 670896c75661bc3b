#include "src/control/job_link.h"

#include <utility>

#include "src/base/log.h"

namespace radishwing::control {

job_link::job_link(kj::Timer& timer, const control_options& options,
                   store_port& store, host_board& board, token_service& tokens)
    : timer_(timer),
      options_(options),
      store_(store),
      board_(board),
      tokens_(tokens),
      holder_("jobs@" + options.host),
      tasks_(kj::heap<kj::TaskSet>(
          static_cast<kj::TaskSet::ErrorHandler&>(*this))) {}

void job_link::Start() {
  job_start start;
  start.data_centre = options_.data_centre;
  start.owner = options_.host + '#' + std::to_string(options_.incarnation);
  start.refresh_ms = options_.timing.job_refresh_ms;
  // The poster drops what comes after the end of the decide thread.
  start.acquire_token = [this, post = store_.Post()](
                            std::string team, std::function<void(bool)> done) {
    post([this, team, done] { Acquire(team, done); });
  };
  start.release_token = [this, post = store_.Post()](std::string team) {
    post([this, team] { Release(team); });
  };
  running_ = store_.StartJobs(std::move(start));
  if (running_) tasks_->add(Loop());
}

void job_link::Stop() {
  tasks_ =
      kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
}

kj::Promise<rpc::job_answer> job_link::Handle(const rpc::job_request& request) {
  return store_.Job(request).then(
      [verb = request.verb](result<rpc::job_answer> answer) {
        if (Ok(answer)) return Value(answer);
        const bool changes =
            verb == rpc::job_verb::kSubmit || verb == rpc::job_verb::kCancel;
        const bool unknown =
            changes && Error(answer).kind == failure_kind::kTimeout;
        return unknown ? rpc::job_answer{504, "unknown", ""}
                       : rpc::job_answer{503, "jobs_unavailable", ""};
      });
}

std::optional<std::uint32_t> job_link::On(const std::string& host) const {
  if (!running_) return 0;
  const auto* record = board_.Record(host);
  auto excluded = excluded_.find(host);
  if (record == nullptr || !counts_.complete || excluded == excluded_.end() ||
      excluded->second < record->epoch) {
    return std::nullopt;
  }
  auto found = counts_.tasks_on.find(host);
  return found == counts_.tasks_on.end() ? 0 : found->second;
}

kj::Promise<void> job_link::Loop() {
  return Push()
      .then([this] {
        return timer_.afterDelay(options_.timing.live_poll_ms *
                                 kj::MILLISECONDS);
      })
      .then([this] { return Loop(); });
}

kj::Promise<void> job_link::Push() {
  std::vector<job_host> hosts;
  std::map<std::string, std::uint64_t> excluded;
  for (const auto& [host, info] : board_.Poller().Sources().hosts) {
    job_host next{info, false};
    const auto* record = board_.Record(host);
    next.accepts_work = record != nullptr &&
                        record->state == maintenance::host_state::kActive &&
                        info.state == platform_state::kUp;
    if (record != nullptr && !next.accepts_work) excluded[host] = record->epoch;
    hosts.push_back(std::move(next));
  }
  return store_.SetJobHosts(std::move(hosts))
      .then([this, excluded =
                       std::move(excluded)](result<job_counts> counts) mutable {
        if (!Ok(counts)) return;
        counts_ = std::move(Value(counts));
        excluded_ = std::move(excluded);
      });
}

void job_link::Acquire(const std::string& team,
                       std::function<void(bool)> granted) {
  tasks_->add(tokens_.Acquire(holder_, team, 1)
                  .then([this, team, granted](rpc::token_grant grant) {
                    if (grant.count > 0) held_[team].push_back(grant.epoch);
                    granted(grant.count > 0);
                  }));
}

void job_link::Release(const std::string& team) {
  auto& epochs = held_[team];
  if (epochs.empty()) return;
  tokens_.GiveBack(holder_, {team, 1, epochs.front()});
  epochs.pop_front();
}

void job_link::OnMember(const membership::member& row) {
  if (row.data_centre != options_.data_centre) return;
  if (row.state != membership::member_state::kFailed &&
      row.state != membership::member_state::kLeft) {
    adopted_.erase(row.host);
  } else if (running_ && adopted_.insert(row.host).second) {
    LogInfo("jobs", "jobs of a lost control taken over, host=" + row.host);
    store_.AdoptJobs(row.host);
  }
}

void job_link::taskFailed(kj::Exception&& exception) {
  LogError("jobs", std::string("task failed, reason=") +
                       exception.getDescription().cStr());
}

}  // namespace radishwing::control

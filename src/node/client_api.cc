#include "src/node/client_api.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "platform/job_codec.h"
#include "src/node/job_record_codec.h"
#include "src/node/leader_notifier.h"
#include "src/node/record_keys.h"
#include "src/sched/progress_codec.h"

namespace radishwing::node {
namespace {

using boost::beast::http::verb;

// Timeout of a query to the leader. After it, the state of a job is read from
// the store instead.
constexpr millis kLeaderQueryTimeoutMs = 500;
// API keys are checked only with a configuration of at most this age, as a
// fraction of `key_revocation_ms`, the time for which a revoked key may still
// be accepted. The remaining time allows for the latency of the request and for
// late responses of the store to watches.
constexpr double kMaxConfigAgeShare = 0.7;
// Attempts to store a cancel request. An attempt fails if the job is stored or
// removed at the same time.
constexpr int kMaxCancelAttempts = 3;
// Length of a job id in hexadecimal digits.
constexpr std::size_t kJobIdLength = 16;
// Value of the Retry-After header of responses with status 503.
constexpr int kRetryAfterSeconds = 1;

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength && std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
                  (c >= 'A' && c <= 'F');
         });
}

http::server_response MakeRetryLaterResponse(std::string_view reason) {
  auto response = http::MakeErrorResponse(503, reason, "try again later");
  response.headers.push_back(
      {"Retry-After", std::to_string(kRetryAfterSeconds)});
  return response;
}

http::server_response StateResponse(sched::job_phase phase) {
  http::server_response response;
  response.body = platform::EncodeJobState(sched::JobPhaseName(phase));
  return response;
}

http::server_response UnknownJobResponse() {
  return http::MakeErrorResponse(410, "unknown_job", "no such job");
}

}  // namespace

struct client_api::impl : std::enable_shared_from_this<client_api::impl> {
  using responder = std::function<void(http::server_response)>;

  impl(node_context& context, peer_client& peers,
       std::function<leader*()> local_leader)
      : context(context),
        peers(peers),
        local_leader(std::move(local_leader)),
        notifier(context, peers, this->local_leader),
        intake(context, [this](const std::string& id, const std::string& record,
                               std::uint64_t revision) {
          notifier.NotifyJobStored(id, record, revision);
        }) {}

  /// Returns a responder that logs and counts a response before it passes the
  /// response to `respond`. `call`, the kind of the request, must be a string
  /// literal.
  responder MakeLoggingResponder(std::string_view call, const std::string& id,
                                 responder respond);
  void RouteRequest(const http::server_request& request, responder respond);
  /// Sets `queue` to the queue of a request and `team` to the name of the team
  /// that owns its API key; `team` stays empty without a valid key. Sends an
  /// error and returns false if the request is not allowed.
  bool Authorize(const http::server_request& request, const responder& respond,
                 fleet::queue_config& queue, std::string& team);
  /// Returns true if the configuration is recent enough to check API keys.
  bool AreKeysCurrent() const;
  void Submit(const fleet::queue_config& queue, const std::string& team,
              const std::string& id, const std::string& body,
              responder respond);
  void RespondWithState(const std::string& id, responder respond);
  /// Responds with the job's state according to the stored records, for a job
  /// that no reachable leader knows.
  void RespondWithStoredState(const std::string& id, responder respond);
  /// Cancels the job `id`. If there is no such job, stores the cancel request
  /// all the same, because the store may still carry out an earlier submission.
  /// `attempts_left` limits the attempts if the job is stored or removed
  /// meanwhile.
  void Cancel(const std::string& id, int attempts_left, responder respond);
  /// Handles the store's response to the commit of a cancel request. The commit
  /// required the job's key to have the revision `job_revision`.
  void OnCancelCommit(const std::string& id, std::uint64_t job_revision,
                      int attempts_left,
                      const result<store::commit_outcome>& outcome,
                      const responder& respond);
  void RespondWithPendingCount(const std::string& queue, responder respond);

  node_context& context;
  peer_client& peers;
  std::function<leader*()> local_leader;
  leader_notifier notifier;
  job_intake intake;
};

client_api::impl::responder client_api::impl::MakeLoggingResponder(
    std::string_view call, const std::string& id, responder respond) {
  return [weak = weak_from_this(), call, id, started_at = context.now.Now(),
          respond = std::move(respond)](http::server_response response) {
    if (const auto self = weak.lock()) {
      const millis took = self->context.now.Now() - started_at;
      self->context.metrics.CountRequest(call, response.status, took);
      const bool succeeded = response.status < 300;
      if (call != "state" || !succeeded) {
        const bool is_query = call == "state" || call == "pending";
        const std::string version = std::to_string(
            self->context.config ? self->context.config->version : 0);
        self->context.log.Info(
            is_query ? "query" : "front",
            "answered, call=" + std::string(call) + " job=" + id +
                " status=" + std::to_string(response.status) +
                " took_ms=" + std::to_string(took) + " config=" + version +
                " config_age_ms=" +
                std::to_string(self->context.now.Now() -
                               self->context.config_current_at) +
                (succeeded ? "" : " body=" + response.body));
      }
    }
    respond(std::move(response));
  };
}

void client_api::impl::RouteRequest(const http::server_request& request,
                                    responder respond) {
  fleet::queue_config queue;
  std::string team;
  const std::string_view path = request.target.path;
  const std::size_t slash = path.rfind('/');
  const std::string id(
      slash == std::string_view::npos ? path : path.substr(slash + 1));
  const std::string_view call = request.method == verb::post      ? "submit"
                                : request.method == verb::delete_ ? "cancel"
                                : request.method != verb::get     ? "other"
                                : id.empty()                      ? "pending"
                                                                  : "state";
  respond = MakeLoggingResponder(call, id, std::move(respond));
  if (!Authorize(request, respond, queue, team)) return;
  const bool is_job_path =
      path.substr(queue.path_prefix.size()) == id && IsJobId(id);
  if (call == "pending" && path == queue.path_prefix) {
    return RespondWithPendingCount(queue.name, std::move(respond));
  }
  if (!is_job_path) {
    return respond(http::MakeErrorResponse(404, "unknown_path",
                                           "a job has 16 hexadecimal digits"));
  }
  if (call == "submit") {
    Submit(queue, team, id, request.body, std::move(respond));
  } else if (call == "cancel") {
    Cancel(id, kMaxCancelAttempts, std::move(respond));
  } else if (call == "state") {
    RespondWithState(id, std::move(respond));
  } else {
    respond(http::MakeErrorResponse(405, "method", "GET, POST or DELETE"));
  }
}

bool client_api::impl::AreKeysCurrent() const {
  const auto limit = static_cast<millis>(
      static_cast<double>(context.settings.key_revocation_ms) *
      kMaxConfigAgeShare);
  return context.ConfigAge() <= limit;
}

bool client_api::impl::Authorize(const http::server_request& request,
                                 const responder& respond,
                                 fleet::queue_config& queue,
                                 std::string& team) {
  if (!context.config) {
    respond(MakeRetryLaterResponse("no_configuration"));
    return false;
  }
  std::string_view host = request.HeaderValue("Host");
  host = host.substr(0, host.find(':'));
  const fleet::queue_config* found =
      context.config->FindQueue(host, request.target.path);
  const bool propagated = context.IsConfigPropagated();
  // If the store responds but this configuration is not known to be current, a
  // newer one is on its way. If the store does not respond, the queues and keys
  // that this node knows stay in use, the keys as long as AreKeysCurrent().
  const bool being_replaced =
      !propagated && context.store_unreachable_since < 0;
  if (being_replaced || (!found && !propagated)) {
    respond(MakeRetryLaterResponse("configuration_not_current"));
    return false;
  }
  if (!found) {
    respond(http::MakeErrorResponse(404, "unknown_queue", "no such queue"));
    return false;
  }
  queue = *found;
  const std::string_view key = request.HeaderValue(platform::kApiKeyHeader);
  const fleet::team_config* owner =
      key.empty() ? nullptr : context.config->FindTeamByKey(key);
  if (owner) team = owner->name;
  if (queue.is_public) return true;
  if (!AreKeysCurrent() || (!owner && !propagated)) {
    respond(MakeRetryLaterResponse("configuration_not_current"));
    return false;
  }
  if (!owner) {
    respond(http::MakeErrorResponse(401, "unknown_key", "the key is unknown"));
    return false;
  }
  return true;
}

void client_api::impl::Submit(const fleet::queue_config& queue,
                              const std::string& team, const std::string& id,
                              const std::string& body, responder respond) {
  auto request = platform::DecodeJob(body);
  if (!Ok(request)) {
    return respond(
        http::MakeErrorResponse(400, "invalid_job", Error(request).message));
  }
  fleet::job_record record;
  record.id = id;
  record.queue = queue.name;
  record.pool = queue.pool;
  record.team = team;
  record.priority = queue.priority;
  record.max_attempts = queue.max_attempts;
  record.stretch = queue.stretch;
  record.target_ms = queue.target_ms;
  record.ticket_valid_ms = queue.ticket_valid_ms;
  record.accepted_unix_ms = context.unix_now.Now();
  record.body = body;
  intake.Submit(std::move(record), [weak = weak_from_this(), queue = queue.name,
                                    team, respond = std::move(respond)](
                                       submission_outcome outcome) {
    const auto count_outcome = [&](std::string_view outcome_name) {
      if (const auto self = weak.lock()) {
        self->context.metrics.CountSubmissionOutcome(queue, team, outcome_name);
      }
    };
    switch (outcome) {
      case submission_outcome::kAccepted:
        return respond(http::MakeJsonResponse(200, boost::json::object{}));
      case submission_outcome::kRefused:
        count_outcome("refused");
        return respond(MakeRetryLaterResponse("store_unreachable"));
      case submission_outcome::kTooLarge:
        count_outcome("too_large");
        return respond(http::MakeErrorResponse(
            413, "job_too_large",
            "the job is larger than the store accepts; it was not stored"));
      case submission_outcome::kUnknown:
        count_outcome("unknown");
        return respond(http::MakeErrorResponse(504, "outcome_unknown",
                                               "the job may be stored"));
    }
  });
}

void client_api::impl::RespondWithState(const std::string& id,
                                        responder respond) {
  const auto respond_with_phase = [weak = weak_from_this(), id, respond](
                                      const result<std::string>& phase_name) {
    const auto self = weak.lock();
    if (!self) return;
    if (!Ok(phase_name) || Value(phase_name).empty()) {
      return self->RespondWithStoredState(id, respond);
    }
    respond(StateResponse(sched::ParseJobPhase(Value(phase_name))));
  };
  if (leader* local = local_leader()) {
    const job_status state =
        local->Ready() ? local->JobStatus(id) : job_status{};
    return respond_with_phase(
        state.known ? std::string(sched::JobPhaseName(state.phase))
                    : std::string());
  }
  const std::string& address = context.members.Leader().address;
  if (address.empty()) return RespondWithStoredState(id, std::move(respond));
  peers.Call(address, "/peer/state?id=" + id, "", kLeaderQueryTimeoutMs,
             respond_with_phase);
}

void client_api::impl::RespondWithStoredState(const std::string& id,
                                              responder respond) {
  context.store->ReadPage(
      JobKey(id), "",
      [weak = weak_from_this(), id,
       respond = std::move(respond)](const result<store::store_page>& range) {
        const auto self = weak.lock();
        if (!self) return;
        if (!Ok(range))
          return respond(MakeRetryLaterResponse("store_unreachable"));
        bool cancelled = false;
        const store::store_item* job = nullptr;
        for (const store::store_item& item : Value(range).items) {
          if (item.key == JobKey(id)) job = &item;
          if (item.key == CancelKey(id)) cancelled = true;
        }
        if (!job) return respond(UnknownJobResponse());
        self->context.store->Get(
            ProgressKey(id),
            [weak, id, cancelled, record = job->value, revision = job->revision,
             respond](const result<store::store_item>& progress) {
              if (!Ok(progress))
                return respond(MakeRetryLaterResponse("store_unreachable"));
              sched::job_phase phase = sched::job_phase::kPending;
              if (Value(progress).revision > 0) {
                phase = sched::DecodePhase(Value(progress).value);
              } else if (const auto self = weak.lock()) {
                // The job may have no progress record because the leader did
                // not get the notification, so the notification is repeated.
                self->notifier.NotifyJobStored(id, record, revision);
              }
              if (cancelled && phase < sched::job_phase::kSucceeded) {
                phase = sched::job_phase::kCancelled;
              }
              respond(StateResponse(phase));
            });
      });
}

void client_api::impl::Cancel(const std::string& id, int attempts_left,
                              responder respond) {
  context.store->Get(JobKey(id), [weak = weak_from_this(), id, attempts_left,
                                  respond = std::move(respond)](
                                     const result<store::store_item>& item) {
    const auto self = weak.lock();
    if (!self) return;
    if (!Ok(item)) {
      return respond(MakeRetryLaterResponse("store_unreachable"));
    }
    const std::uint64_t job_revision = Value(item).revision;
    store::store_commit commit;
    commit.preconditions = {{JobKey(id), job_revision}};
    commit.writes = {{CancelKey(id), "{}", 0}};
    self->context.store->Commit(
        commit, [weak, id, job_revision, attempts_left,
                 respond](const result<store::commit_outcome>& outcome) {
          const auto self = weak.lock();
          if (!self) return;
          self->OnCancelCommit(id, job_revision, attempts_left, outcome,
                               respond);
        });
  });
}

void client_api::impl::OnCancelCommit(
    const std::string& id, std::uint64_t job_revision, int attempts_left,
    const result<store::commit_outcome>& outcome, const responder& respond) {
  if (!Ok(outcome)) {
    if (Error(outcome).kind == failure_kind::kUnavailable) {
      return respond(MakeRetryLaterResponse("store_unreachable"));
    }
    return respond(http::MakeErrorResponse(504, "outcome_unknown",
                                           "the job may be cancelled"));
  }
  if (!Value(outcome).committed) {
    if (attempts_left > 1) return Cancel(id, attempts_left - 1, respond);
    return respond(MakeRetryLaterResponse("job_changed"));
  }
  if (job_revision == 0) return respond(UnknownJobResponse());
  notifier.NotifyCancelStored(id);
  respond(http::MakeJsonResponse(200, boost::json::object{}));
}

void client_api::impl::RespondWithPendingCount(const std::string& queue,
                                               responder respond) {
  const auto make_response = [](std::string_view count) {
    http::server_response response;
    response.body = platform::EncodePendingCount(
        std::strtoull(std::string(count).c_str(), nullptr, 10));
    return response;
  };
  if (leader* local = local_leader(); local && local->Ready()) {
    return respond(make_response(std::to_string(local->PendingCount(queue))));
  }
  const std::string& address = context.members.Leader().address;
  if (address.empty()) return respond(MakeRetryLaterResponse("no_leader"));
  peers.Call(address,
             "/peer/pending?queue=" + http::PercentEncodeQueryValue(queue), "",
             kLeaderQueryTimeoutMs,
             [make_response, respond](const result<std::string>& answer) {
               if (!Ok(answer))
                 return respond(MakeRetryLaterResponse("leader_unreachable"));
               respond(make_response(Value(answer)));
             });
}

client_api::client_api(node_context& context, peer_client& peers,
                       std::function<leader*()> local_leader)
    : impl_(std::make_shared<impl>(context, peers, std::move(local_leader))) {}

client_api::~client_api() = default;

void client_api::Handle(const http::server_request& request,
                        http::server::responder respond) {
  impl_->RouteRequest(request, std::move(respond));
}

}  // namespace radishwing::node

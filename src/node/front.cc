#include "src/node/front.h"

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

// A question to the leader; after it the store is asked.
constexpr millis kAskMs = 500;
// Of the time that a withdrawn key may still work, the share that is left for
// the request's way and for watches that the store keeps waiting.
constexpr double kRevokeShare = 0.7;
constexpr std::size_t kIdLength = 16;
constexpr int kRetryAfterSeconds = 1;

bool IsJobId(std::string_view text) {
  return text.size() == kIdLength && std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
                  (c >= 'A' && c <= 'F');
         });
}

http::server_response Later(std::string_view reason) {
  auto response = http::ErrorResponse(503, reason, "try again later");
  response.headers.push_back(
      {"Retry-After", std::to_string(kRetryAfterSeconds)});
  return response;
}

http::server_response StateResponse(sched::job_phase phase) {
  http::server_response response;
  response.body = platform::EncodeJobState(sched::JobPhaseName(phase));
  return response;
}

http::server_response Unknown() {
  return http::ErrorResponse(410, "unknown_job", "no such job");
}

}  // namespace

struct front::impl : std::enable_shared_from_this<front::impl> {
  using responder = std::function<void(http::server_response)>;

  impl(node_context& context, peer_link& peers,
       std::function<leader*()> local_leader)
      : context(context),
        peers(peers),
        local_leader(std::move(local_leader)),
        notifier(context, peers, this->local_leader),
        intake(context,
               [this](const std::string& id, const std::string& record) {
                 notifier.Job(id, record);
               }) {}

  responder Observed(std::string_view call, const std::string& id,
                     responder respond);
  void Handle(const http::server_request& request, responder respond);
  /// The queue and team, or the answer that refuses the request.
  bool Admit(const http::server_request& request, const responder& respond,
             fleet::queue_config& queue, std::string& team);
  bool KeysCurrent() const;
  void Submit(const fleet::queue_config& queue, const std::string& team,
              const std::string& id, const std::string& body,
              responder respond);
  void State(const std::string& id, responder respond);
  void StateFromStore(const std::string& id, responder respond);
  void Cancel(const std::string& id, responder respond);
  void Pending(const std::string& queue, responder respond);

  node_context& context;
  peer_link& peers;
  std::function<leader*()> local_leader;
  leader_notifier notifier;
  job_intake intake;
};

front::impl::responder front::impl::Observed(std::string_view call,
                                             const std::string& id,
                                             responder respond) {
  return [weak = weak_from_this(), call, id, began = context.now.Now(),
          respond = std::move(respond)](http::server_response response) {
    if (const auto self = weak.lock()) {
      const millis took = self->context.now.Now() - began;
      self->context.metrics.CountRequest(call, response.status, took);
      const bool fine = response.status < 300;
      if (call != "state" || !fine) {
        const bool question = call == "state" || call == "pending";
        const std::string version = std::to_string(
            self->context.config ? self->context.config->version : 0);
        self->context.log.Info(
            question ? "query" : "front",
            "answered, call=" + std::string(call) + " job=" + id +
                " status=" + std::to_string(response.status) +
                " took_ms=" + std::to_string(took) + " config=" + version +
                " config_age_ms=" +
                std::to_string(self->context.now.Now() -
                               self->context.config_current_at) +
                (fine ? "" : " body=" + response.body));
      }
    }
    respond(std::move(response));
  };
}

void front::impl::Handle(const http::server_request& request,
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
  respond = Observed(call, id, std::move(respond));
  if (!Admit(request, respond, queue, team)) return;
  const bool names_job =
      path.substr(queue.path_prefix.size()) == id && IsJobId(id);
  if (call == "pending" && path == queue.path_prefix) {
    return Pending(queue.name, std::move(respond));
  }
  if (!names_job) {
    return respond(http::ErrorResponse(404, "unknown_path",
                                       "a job has 16 hexadecimal digits"));
  }
  if (call == "submit") {
    Submit(queue, team, id, request.body, std::move(respond));
  } else if (call == "cancel") {
    Cancel(id, std::move(respond));
  } else if (call == "state") {
    State(id, std::move(respond));
  } else {
    respond(http::ErrorResponse(405, "method", "GET, POST or DELETE"));
  }
}

bool front::impl::KeysCurrent() const {
  const auto limit = static_cast<millis>(
      static_cast<double>(context.settings.revoke_ms) * kRevokeShare);
  return context.config_current_at >= 0 &&
         context.now.Now() - context.config_current_at <= limit;
}

bool front::impl::Admit(const http::server_request& request,
                        const responder& respond, fleet::queue_config& queue,
                        std::string& team) {
  if (!context.config) {
    respond(Later("no_configuration"));
    return false;
  }
  std::string_view host = request.Header("Host");
  host = host.substr(0, host.find(':'));
  const fleet::queue_config* found =
      context.config->FindQueue(host, request.target.path);
  if (!found) {
    respond(http::ErrorResponse(404, "unknown_queue", "no such queue"));
    return false;
  }
  queue = *found;
  const std::string_view key = request.Header(platform::kKeyHeader);
  const fleet::team_config* owner =
      key.empty() ? nullptr : context.config->FindTeamByKey(key);
  if (owner) team = owner->name;
  if (queue.is_public) return true;
  if (!KeysCurrent()) {
    respond(Later("configuration_not_current"));
    return false;
  }
  if (!owner) {
    respond(http::ErrorResponse(401, "unknown_key", "the key is unknown"));
    return false;
  }
  return true;
}

void front::impl::Submit(const fleet::queue_config& queue,
                         const std::string& team, const std::string& id,
                         const std::string& body, responder respond) {
  auto request = platform::DecodeJob(body);
  if (!Ok(request)) {
    return respond(
        http::ErrorResponse(400, "invalid_job", Error(request).message));
  }
  fleet::job_record record;
  record.id = id;
  record.queue = queue.name;
  record.pool = queue.pool;
  record.team = team;
  record.priority = queue.priority;
  record.attempts = queue.attempts;
  record.stretch = queue.stretch;
  record.target_ms = queue.target_ms;
  record.ticket_valid_ms = queue.ticket_valid_ms;
  record.accepted_unix_ms = context.unix_now.Now();
  record.body = body;
  intake.Submit(std::move(record), [weak = weak_from_this(), queue = queue.name,
                                    team, respond = std::move(respond)](
                                       intake_outcome outcome) {
    const auto count = [&](std::string_view what) {
      if (const auto self = weak.lock()) {
        self->context.metrics.CountOutcome(queue, team, what);
      }
    };
    switch (outcome) {
      case intake_outcome::kAccepted:
        return respond(http::JsonResponse(200, boost::json::object{}));
      case intake_outcome::kRefused:
        count("refused");
        return respond(Later("store_unreachable"));
      case intake_outcome::kUnknown:
        count("unknown");
        return respond(http::ErrorResponse(504, "outcome_unknown",
                                           "the job may be stored"));
    }
  });
}

void front::impl::State(const std::string& id, responder respond) {
  const auto answer = [weak = weak_from_this(), id,
                       respond](const result<std::string>& text) {
    const auto self = weak.lock();
    if (!self) return;
    if (!Ok(text) || Value(text).empty()) {
      return self->StateFromStore(id, respond);
    }
    respond(StateResponse(sched::ParseJobPhase(Value(text))));
  };
  if (leader* local = local_leader()) {
    const job_answer known = local->Ready() ? local->State(id) : job_answer{};
    return answer(known.known ? std::string(sched::JobPhaseName(known.phase))
                              : std::string());
  }
  const std::string& address = context.members.Leader().address;
  if (address.empty()) return StateFromStore(id, std::move(respond));
  peers.Call(address, "/peer/state?id=" + id, "", kAskMs, answer);
}

// Without a leader that knows the job, the store tells what was kept.
void front::impl::StateFromStore(const std::string& id, responder respond) {
  context.store->Range(
      JobKey(id), "",
      [weak = weak_from_this(), id,
       respond = std::move(respond)](const result<store::store_range>& range) {
        const auto self = weak.lock();
        if (!self) return;
        if (!Ok(range)) return respond(Later("store_unreachable"));
        bool cancelled = false;
        const store::store_item* job = nullptr;
        for (const store::store_item& item : Value(range).items) {
          if (item.key == JobKey(id)) job = &item;
          if (item.key == CancelKey(id)) cancelled = true;
        }
        if (!job) return respond(Unknown());
        self->context.store->Get(
            ProgressKey(id),
            [weak, id, cancelled, record = job->value,
             respond](const result<store::store_item>& progress) {
              if (!Ok(progress)) return respond(Later("store_unreachable"));
              sched::job_phase phase = sched::job_phase::kPending;
              if (Value(progress).revision > 0) {
                phase = sched::DecodePhase(Value(progress).value);
              } else if (const auto self = weak.lock()) {
                // Only a job that was never started may be new to the leader.
                self->notifier.Job(id, record);
              }
              if (cancelled && phase < sched::job_phase::kSucceeded) {
                phase = sched::job_phase::kCancelled;
              }
              respond(StateResponse(phase));
            });
      });
}

void front::impl::Cancel(const std::string& id, responder respond) {
  context.store->Get(
      JobKey(id), [weak = weak_from_this(), id, respond = std::move(respond)](
                      const result<store::store_item>& item) {
        const auto self = weak.lock();
        if (!self) return;
        if (!Ok(item)) return respond(Later("store_unreachable"));
        if (Value(item).revision == 0) return respond(Unknown());
        store::store_commit commit;
        commit.writes = {{CancelKey(id), "{}", 0}};
        self->context.store->Commit(
            commit, [weak, id, respond](result<store::commit_outcome> outcome) {
              const auto self = weak.lock();
              if (!self) return;
              if (Ok(outcome) && Value(outcome).committed) {
                self->notifier.Cancel(id);
                return respond(http::JsonResponse(200, boost::json::object{}));
              }
              if (!Ok(outcome) &&
                  Error(outcome).kind == failure_kind::kUnavailable) {
                return respond(Later("store_unreachable"));
              }
              respond(http::ErrorResponse(504, "outcome_unknown",
                                          "the job may be cancelled"));
            });
      });
}

void front::impl::Pending(const std::string& queue, responder respond) {
  const auto count = [](std::string_view text) {
    http::server_response response;
    response.body = platform::EncodePendingCount(
        std::strtoull(std::string(text).c_str(), nullptr, 10));
    return response;
  };
  if (leader* local = local_leader(); local && local->Ready()) {
    return respond(count(std::to_string(local->PendingCount(queue))));
  }
  const std::string& address = context.members.Leader().address;
  if (address.empty()) return respond(Later("no_leader"));
  peers.Call(address, "/peer/pending?queue=" + http::EscapeQuery(queue), "",
             kAskMs, [count, respond](const result<std::string>& answer) {
               if (!Ok(answer)) return respond(Later("leader_unreachable"));
               respond(count(Value(answer)));
             });
}

front::front(node_context& context, peer_link& peers,
             std::function<leader*()> local_leader)
    : impl_(std::make_shared<impl>(context, peers, std::move(local_leader))) {}

front::~front() = default;

void front::Handle(const http::server_request& request,
                   http::server::responder respond) {
  impl_->Handle(request, std::move(respond));
}

}  // namespace radishwing::node

#include "src/jobs/job_manager.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "src/jobs/job_fit.h"
#include "src/jobs/job_machine.h"

namespace radishwing::jobs {
namespace {

namespace json = boost::json;

// A value of the store holds 1 MB, and a batch takes a job on top of up to
// 128 KB.
constexpr std::size_t kMaxStoredBytes = 600u << 10;

rpc::job_answer Refusal(std::uint16_t status, std::string_view reason,
                        std::string_view message) {
  rpc::job_answer answer;
  answer.status = status;
  answer.reason = reason;
  answer.body =
      json::serialize(json::value{{"reason", reason}, {"message", message}});
  return answer;
}

rpc::job_answer StateAnswer(std::uint16_t status, const job_record& job) {
  json::object body{{"id", job.id},
                    {"service", job.service},
                    {"state", JobStateName(job.state)},
                    {"cancelling", job.cancel && !HasEnded(job.state)},
                    {"attempt", job.attempt},
                    {"host", job.host}};
  if (!job.reason.empty()) body["reason"] = job.reason;
  rpc::job_answer answer;
  answer.status = status;
  answer.body = json::serialize(body);
  return answer;
}

rpc::job_answer FailureAnswer(const failure& f) {
  if (f.kind == failure_kind::kNotFound) {
    return Refusal(404, "no_such_job", "there is no such job");
  }
  return Refusal(503, "store_unavailable", f.message);
}

bool IsUtf8(const std::string& text) {
  boost::system::error_code error;
  json::parse(json::serialize(json::value(text)), error);
  return !error;
}

job_record RecordOf(rpc::job_request request) {
  job_record job;
  job.service = std::move(request.service);
  job.team = std::move(request.team);
  job.idempotent = request.idempotent;
  job.body = std::move(request.body);
  job.cores = request.cores;
  job.memory_mb = request.memory_mb;
  job.accelerators = request.accelerators;
  job.longest_run_seconds = request.longest_run_seconds;
  return job;
}

rpc::job_answer AcceptAnswer(const accept_outcome& outcome) {
  switch (outcome.state) {
    case accept_state::kAccepted: {
      rpc::job_answer answer;
      answer.status = 202;
      answer.body = json::serialize(
          json::value{{"id", outcome.id}, {"state", "accepted"}});
      return answer;
    }
    case accept_state::kNotDone:
      return Refusal(503, "store_unavailable", outcome.message);
    case accept_state::kUnknown:
      break;
  }
  return Refusal(504, "unknown", outcome.message);
}

}  // namespace

job_manager::job_manager(boost::asio::io_context& io, platform::kv_store& store,
                         platform::task_client& tasks, job_options options,
                         job_hooks hooks)
    : tasks_(tasks),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      alive_(std::make_shared<bool>(true)) {
  job_store_hooks store_hooks;
  store_hooks.on_due = [this](const std::string& id) { driver_->OnDue(id); };
  store_hooks.on_removed = [this](const std::string& id) {
    driver_->OnRemoved(id);
  };
  store_ = std::make_unique<job_store>(io, store, options_, store_hooks);
  driver_ = std::make_unique<job_driver>(io, *store_, tasks, options_, hooks_);
  store_->Adopt(options_.owner.substr(0, options_.owner.find('#')));
}

void job_manager::Handle(rpc::job_request request, completion completion) {
  switch (request.verb) {
    case rpc::job_verb::kSubmit:
      return Submit(std::move(request), std::move(completion));
    case rpc::job_verb::kState:
      return State(request, std::move(completion));
    case rpc::job_verb::kCancel:
      return Cancel(request, std::move(completion));
    case rpc::job_verb::kResult:
      return Result(request, std::move(completion));
  }
}

void job_manager::Adopt(std::string_view host) { store_->Adopt(host); }

std::map<std::string, std::uint32_t> job_manager::RunningByTeam() const {
  return driver_->RunningByTeam();
}

void job_manager::Submit(rpc::job_request request, completion completion) {
  if (request.body.size() > options_.max_body_bytes) {
    return completion(Refusal(413, "too_large", "the job's body is too large"));
  }
  if (!IsUtf8(request.body)) {
    return completion(
        Refusal(400, "malformed", "the job's body is not UTF-8 text"));
  }
  job_record job = RecordOf(std::move(request));
  const std::size_t bytes = StoredBytes(job);
  if (bytes > kMaxStoredBytes) {
    return completion(Refusal(413, "too_large", "the job's body is too large"));
  }
  const auto hosts = hooks_.hosts();
  if (hosts.empty()) {
    return completion(Refusal(503, "hosts_unknown", "no host is known yet"));
  }
  const std::string missing = MissingFor(job, hosts);
  if (!missing.empty()) {
    return completion(Refusal(422, "never_fits", missing));
  }
  if (store_->Jobs() >= options_.max_jobs ||
      store_->Bytes() + bytes > options_.max_bytes) {
    return completion(Refusal(503, "full", "too many jobs are held here"));
  }
  store_->Append(std::move(job),
                 [completion = std::move(completion)](accept_outcome outcome) {
                   completion(AcceptAnswer(outcome));
                 });
}

void job_manager::WithJob(const rpc::job_request& request,
                          std::function<void(result<job_record>)> completion) {
  auto check = [team = request.team,
                completion = std::move(completion)](result<job_record> job) {
    if (Ok(job) && Value(job).team != team) {
      job = failure{failure_kind::kNotFound, "the job is of another team"};
    }
    completion(std::move(job));
  };
  const job_record* mine = store_->Find(request.job_id);
  if (mine) {
    check(*mine);
  } else {
    store_->Load(request.job_id, std::move(check));
  }
}

void job_manager::State(const rpc::job_request& request,
                        completion completion) {
  WithJob(request,
          [completion = std::move(completion)](const result<job_record>& job) {
            completion(Ok(job) ? StateAnswer(200, Value(job))
                               : FailureAnswer(Error(job)));
          });
}

void job_manager::Cancel(const rpc::job_request& request,
                         completion completion) {
  job_record* mine = store_->Find(request.job_id);
  if (!mine) {
    store_->CancelElsewhere(
        request.job_id, request.team,
        [completion = std::move(completion)](const result<job_record>& job) {
          completion(Ok(job) ? StateAnswer(202, Value(job))
                             : FailureAnswer(Error(job)));
        });
    return;
  }
  if (mine->team != request.team) {
    return completion(Refusal(404, "no_such_job", "there is no such job"));
  }
  if (!ApplyCancel(*mine)) return completion(StateAnswer(202, *mine));
  const job_record cancelled = *mine;
  store_->Touch(cancelled.id, [cancelled, completion](bool written) {
    completion(written ? StateAnswer(202, cancelled)
                       : Refusal(504, "unknown",
                                 "the cancellation is not recorded yet"));
  });
  driver_->OnDue(cancelled.id);
}

void job_manager::Result(const rpc::job_request& request,
                         completion completion) {
  const auto deliver =
      [completion](const ::radishwing::result<std::string>& r) {
        rpc::job_answer answer;
        if (Ok(r)) {
          answer.status = 200;
          answer.body = Value(r);
        } else {
          answer = Refusal(503, "platform_unavailable", Error(r).message);
        }
        completion(answer);
      };
  WithJob(request, [this, weak = std::weak_ptr<bool>(alive_), completion,
                    deliver](const result<job_record>& job) {
    if (weak.expired()) return;
    if (!Ok(job)) return completion(FailureAnswer(Error(job)));
    if (Value(job).state != job_state::kFinished) {
      rpc::job_answer answer = StateAnswer(409, Value(job));
      answer.reason = "not_finished";
      return completion(answer);
    }
    tasks_.Result(TaskIdOf(Value(job)), deliver);
  });
}

}  // namespace radishwing::jobs

#include "src/control/job_operators.h"

#include <boost/json.hpp>
#include <utility>

#include "src/base/log.h"
#include "src/jobs/job_batch.h"

namespace radishwing::control {
namespace {

namespace json = boost::json;

json::object Show(const jobs::job_record& job) {
  std::string note = job.reason;
  if (note.empty() && job.cancel && !HasEnded(job.state)) note = "cancelling";
  return {{"id", job.id},     {"service", job.service},
          {"team", job.team}, {"state", JobStateName(job.state)},
          {"host", job.host}, {"note", note}};
}

}  // namespace

void job_operators::ListJobs(json_completion completion) {
  tasks_.add(
      store_.List("jobs/").then([completion](result<stored_values> listed) {
        if (!Ok(listed)) return completion(Error(listed));
        json::array shown;
        for (const stored_value& item : Value(listed).items) {
          auto batch =
              jobs::ParseBatch(item.key.substr(item.key.rfind('/') + 1),
                               item.value, item.version);
          if (!Ok(batch)) continue;
          for (const auto& [number, job] : Value(batch).jobs) {
            shown.push_back(Show(job));
          }
        }
        completion(json::value(std::move(shown)));
      }));
}

void job_operators::WithJob(const std::string& id, json_completion completion,
                            std::function<void(const jobs::job_record&)> use) {
  const failure unknown{failure_kind::kNotFound,
                        "job \"" + id + "\" is not known"};
  auto key = jobs::ParseJobId(id);
  if (!Ok(key)) return completion(unknown);
  const jobs::job_key named = Value(key);
  tasks_.add(store_.Get(jobs::BatchKey(named.data_centre, named.batch))
                 .then([=](result<std::optional<stored_value>> found) {
                   if (!Ok(found)) return completion(Error(found));
                   if (!Value(found)) return completion(unknown);
                   auto batch = jobs::ParseBatch(
                       named.batch, Value(found)->value, Value(found)->version);
                   if (!Ok(batch)) return completion(Error(batch));
                   auto job = Value(batch).jobs.find(named.number);
                   if (job == Value(batch).jobs.end()) {
                     return completion(unknown);
                   }
                   use(job->second);
                 }));
}

void job_operators::ShowJob(const std::string& id, json_completion completion) {
  WithJob(id, completion, [completion](const jobs::job_record& job) {
    completion(json::value(Show(job)));
  });
}

void job_operators::CancelJob(const std::string& id,
                              json_completion completion) {
  WithJob(id, completion, [this, completion](const jobs::job_record& job) {
    rpc::job_request request;
    request.verb = rpc::job_verb::kCancel;
    request.team = job.team;
    request.service = job.service;
    request.job_id = job.id;
    tasks_.add(jobs_.Handle(request).then(
        [this, completion, id = job.id](rpc::job_answer answer) {
          if (answer.status == 202) return ShowJob(id, completion);
          const bool unknown = answer.status == 504;
          completion(failure{
              unknown ? failure_kind::kTimeout : failure_kind::kUnavailable,
              "cancel answered " + answer.reason});
        }));
  });
}

void job_operators::taskFailed(kj::Exception&& exception) {
  LogError("operator", std::string("task failed, reason=") +
                           exception.getDescription().cStr());
}

}  // namespace radishwing::control

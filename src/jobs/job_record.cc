#include "src/jobs/job_record.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>
#include <stdexcept>

namespace radishwing::jobs {

namespace json = boost::json;

namespace {

// Room for the id, hosts and the reason, which are set later.
constexpr std::size_t kGrowth = 200;

}  // namespace

std::string TaskIdOf(const job_record& job) {
  return job.id + "-" + std::to_string(job.attempt);
}

json::object ToJson(const job_record& job) {
  return {{"id", job.id},
          {"service", job.service},
          {"team", job.team},
          {"idempotent", job.idempotent},
          {"body", job.body},
          {"cores", job.cores},
          {"memory_mb", job.memory_mb},
          {"accelerators", job.accelerators},
          {"longest_run_seconds", job.longest_run_seconds},
          {"state", JobStateName(job.state)},
          {"cancel", job.cancel},
          {"attempt", job.attempt},
          {"host", job.host},
          {"failed_on", json::value_from(job.failed_on)},
          {"reason", job.reason}};
}

std::size_t StoredBytes(const job_record& job) {
  return json::serialize(ToJson(job)).size() + kGrowth;
}

job_record ParseJob(const json::object& object) {
  job_record job;
  const auto text = [&](const char* name) {
    return json::value_to<std::string>(object.at(name));
  };
  const auto number = [&](const char* name) {
    return json::value_to<std::uint32_t>(object.at(name));
  };
  job.id = text("id");
  job.service = text("service");
  job.team = text("team");
  job.idempotent = object.at("idempotent").as_bool();
  job.body = text("body");
  job.cores = number("cores");
  job.memory_mb = number("memory_mb");
  job.accelerators = number("accelerators");
  job.longest_run_seconds = number("longest_run_seconds");
  const auto state = ParseJobState(object.at("state").as_string());
  if (!state) throw std::invalid_argument("unknown job state");
  job.state = *state;
  job.cancel = object.at("cancel").as_bool();
  job.attempt = number("attempt");
  job.host = text("host");
  job.failed_on =
      json::value_to<std::vector<std::string>>(object.at("failed_on"));
  job.reason = text("reason");
  job.recovered = true;
  job.in_doubt = !HasEnded(job.state);
  return job;
}

}  // namespace radishwing::jobs

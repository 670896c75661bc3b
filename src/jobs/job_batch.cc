#include "src/jobs/job_batch.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <charconv>
#include <exception>
#include <utility>

#include "src/platform/change_id.h"

namespace radishwing::jobs {

namespace json = boost::json;

std::string FormatJobId(const job_key& key) {
  return key.data_centre + "." + key.batch + "-" + std::to_string(key.number);
}

result<job_key> ParseJobId(std::string_view id) {
  const std::size_t dot = id.rfind('.');
  const std::size_t dash = id.rfind('-');
  const failure malformed{failure_kind::kInvalid, "malformed job id"};
  if (dot == std::string_view::npos || dash == std::string_view::npos ||
      dash < dot) {
    return malformed;
  }
  job_key key;
  key.data_centre = id.substr(0, dot);
  key.batch = id.substr(dot + 1, dash - dot - 1);
  const char* end = id.data() + id.size();
  const auto parsed = std::from_chars(id.data() + dash + 1, end, key.number);
  if (parsed.ec != std::errc() || parsed.ptr != end || key.batch.empty() ||
      key.batch.find('/') != std::string::npos) {
    return malformed;
  }
  return key;
}

std::string BatchKey(std::string_view data_centre, std::string_view batch) {
  return "jobs/" + std::string(data_centre) + "/" + std::string(batch);
}

std::string FormatBatch(const job_batch& batch) {
  json::array jobs;
  for (const auto& [number, job] : batch.jobs) jobs.push_back(ToJson(job));
  return json::serialize(json::value{{"change_id", platform::NewChangeId()},
                                     {"owner", batch.owner},
                                     {"next_number", batch.next_number},
                                     {"jobs", std::move(jobs)}});
}

result<job_batch> ParseBatch(std::string_view id, std::string_view value,
                             std::uint64_t version) {
  try {
    const json::value parsed = json::parse({value.data(), value.size()});
    job_batch batch;
    batch.id = id;
    batch.version = version;
    batch.bytes = value.size();
    batch.owner = json::value_to<std::string>(parsed.at("owner"));
    batch.next_number = json::value_to<std::uint32_t>(parsed.at("next_number"));
    for (const json::value& item : parsed.at("jobs").as_array()) {
      job_record job = ParseJob(item.as_object());
      const auto key = ParseJobId(job.id);
      if (!Ok(key)) return Error(key);
      batch.jobs.emplace(Value(key).number, std::move(job));
    }
    return batch;
  } catch (const std::exception& error) {
    return failure{
        failure_kind::kInternal,
        "batch " + std::string(id) + " is malformed: " + error.what()};
  }
}

}  // namespace radishwing::jobs

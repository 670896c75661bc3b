#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace review {

using millis = std::int64_t;

/// One step of a submitted job, with what the stand-in runners need to know
/// about its tasks beyond what goes over the wire.
struct step_plan {
  int count = 1;
  std::int64_t cpu = 1000;
  std::int64_t mem_mb = 256;
  millis estimate_ms = 1000;
  std::vector<int> after;
  bool checkpointing = false;
  bool gang = false;
  bool speculative = false;
  bool long_running = false;
  int anti_affinity = 0;
  int may_miss = -1;  ///< -1: the step has no such field.
  std::string affinity;
  millis run_ms = 1000;  ///< Time that a run really takes.
  int failing_runs = 0;  ///< Number of first runs of each task that fail.
};

/// A job that a client submits, and what became of it.
struct job_plan {
  std::string id;
  std::string path_prefix;
  std::string host;
  std::string key;
  std::string spec;
  std::vector<step_plan> steps;
  int repetitions = 0;
  millis first_ms = 0;
  millis interval_ms = 0;
  // Written by the client.
  bool accepted = false;
  bool may_be_stored = false;  ///< An attempt ended without a rejection.
  millis accepted_at = -1;

  std::string Body() const {
    namespace json = boost::json;
    json::array rows;
    for (const step_plan& step : steps) {
      json::object row{{"count", step.count},
                       {"cpu", step.cpu},
                       {"mem-mb", step.mem_mb},
                       {"estimate-ms", step.estimate_ms}};
      if (!step.after.empty()) row["after"] = json::value_from(step.after);
      if (step.checkpointing) row["checkpointing"] = true;
      if (step.gang) row["gang"] = true;
      if (step.speculative) row["speculative"] = true;
      if (step.long_running) row["long-running"] = true;
      if (step.anti_affinity > 0) row["anti-affinity"] = step.anti_affinity;
      if (step.may_miss >= 0) row["may-miss"] = step.may_miss;
      if (!step.affinity.empty()) row["affinity"] = step.affinity;
      rows.push_back(std::move(row));
    }
    json::object body{{"spec", spec}, {"steps", std::move(rows)}};
    if (repetitions > 0) {
      body["repetitions"] = repetitions;
      body["first-ms"] = first_ms;
      body["interval-ms"] = interval_ms;
    }
    return json::serialize(body);
  }
};

}  // namespace review

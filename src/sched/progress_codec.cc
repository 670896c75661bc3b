#include "src/sched/progress_codec.h"

#include <algorithm>
#include <boost/json.hpp>

#include "src/sched/job_steps.h"

namespace radishwing::sched {
namespace json = boost::json;
namespace {

failure Unreadable() {
  return {failure_kind::kInvalid, "progress record is unreadable"};
}

// Returns a row [index, failed runs, checkpoint] for each unfinished task that
// has failed runs or a checkpoint.
json::array EncodeTasks(const step_state& step) {
  json::array rows;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const task_state& task = step.tasks[i];
    if (task.done || (task.failed_runs.empty() && task.checkpoint.empty())) {
      continue;
    }
    rows.push_back(
        json::array{i, json::value_from(task.failed_runs), task.checkpoint});
  }
  return rows;
}

// Returns the string with the name `field` in a progress record, or an empty
// string if there is none.
std::string DecodeString(std::string_view text, std::string_view field) {
  boost::system::error_code error;
  const json::value wire = json::parse(text, error);
  if (error || !wire.is_object()) return "";
  const json::value* value = wire.get_object().if_contains(field);
  return value && value->is_string() ? value->get_string().c_str() : "";
}

// Returns true if the record shows that a task of the step has run.
bool HasBegunTasks(const step_state& step) {
  return std::ranges::any_of(step.tasks, [](const task_state& task) {
    return task.done || task.last_run > 0 || !task.checkpoint.empty();
  });
}

void DecodeStep(const json::object& wire, step_state& step) {
  const json::string& bits = wire.at("done").as_string();
  for (std::size_t i = 0; i < bits.size() && i < step.tasks.size(); ++i) {
    if (bits[i] != '1') continue;
    step.tasks[i].done = true;
    ++step.done_count;
  }
  for (const json::value& entry : wire.at("tasks").as_array()) {
    const json::array& row = entry.as_array();
    const auto index = row.at(0).to_number<std::size_t>();
    if (index >= step.tasks.size()) continue;
    task_state& task = step.tasks[index];
    for (const json::value& run : row.at(1).as_array()) {
      task.failed_runs.push_back(run.to_number<int>());
      task.last_run = std::max(task.last_run, task.failed_runs.back());
    }
    task.checkpoint = row.at(2).as_string().c_str();
  }
}

}  // namespace

std::string EncodeProgress(const job_state& job) {
  json::array repetitions;
  for (const auto& [number, repetition] : job.repetitions) {
    json::array steps;
    for (const step_state& step : repetition.steps) {
      std::string bits;
      for (const task_state& task : step.tasks) bits += task.done ? '1' : '0';
      steps.push_back(
          json::object{{"done", bits}, {"tasks", EncodeTasks(step)}});
    }
    repetitions.push_back(json::object{{"number", number},
                                       {"done", repetition.done},
                                       {"steps", std::move(steps)}});
  }
  if (job.IsFinished()) repetitions.clear();
  return json::serialize(
      json::object{{"state", JobPhaseName(job.phase)},
                   {"author", job.author},
                   {"created", job.created_repetitions},
                   {"data_centres", json::value_from(job.data_centres)},
                   {"repetitions", std::move(repetitions)}});
}

std::string DecodeAuthor(std::string_view text) {
  return DecodeString(text, "author");
}

job_phase DecodePhase(std::string_view text) {
  return ParseJobPhase(DecodeString(text, "state"));
}

result<success> DecodeProgress(std::string_view text, job_state& job) try {
  const json::object wire = json::parse(text).as_object();
  job.phase = ParseJobPhase(wire.at("state").as_string().c_str());
  job.created_repetitions = wire.at("created").to_number<int>();
  for (const json::value& name : wire.at("data_centres").as_array()) {
    job.data_centres.insert(name.as_string().c_str());
  }
  if (job.IsFinished()) {
    job.repetitions.clear();
    return success{};
  }
  for (const json::value& entry : wire.at("repetitions").as_array()) {
    const json::object& row = entry.as_object();
    repetition_state repetition = MakeRepetition(job.record.request);
    repetition.done = row.at("done").as_bool();
    const json::array& steps = row.at("steps").as_array();
    for (std::size_t i = 0; i < steps.size() && i < repetition.steps.size();
         ++i) {
      DecodeStep(steps[i].as_object(), repetition.steps[i]);
    }
    job.started |=
        repetition.done || std::ranges::any_of(repetition.steps, HasBegunTasks);
    job.repetitions[row.at("number").to_number<int>()] = std::move(repetition);
  }
  return success{};
} catch (const std::exception&) {
  return Unreadable();
}

}  // namespace radishwing::sched

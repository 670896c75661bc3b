#include "src/sched/progress_codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "src/sched/job_steps.h"

namespace radishwing::sched {
namespace json = boost::json;
namespace {

failure Unreadable() {
  return {failure_kind::kInvalid, "progress record is unreadable"};
}

// Upper bounds of the length of the parts of a record, for
// MaxOpenRepetitions().
constexpr std::size_t kRecordBytes = 4096;    // All but the repetitions.
constexpr std::size_t kRepetitionBytes = 56;  // A repetition without its steps.
constexpr std::size_t kStepBytes = 24;        // A step without its tasks.
constexpr std::size_t kTaskBytes = 14;        // A task without failed runs.
constexpr std::size_t kFailedRunBytes = 11;   // A number of up to 10 digits.

// Returns a row [index, failed runs, checkpoint] for each unfinished task that
// has failed runs or a checkpoint.
json::array EncodeTasks(const step_state& step, bool with_checkpoints) {
  json::array rows;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const task_state& task = step.tasks[i];
    const std::string_view checkpoint =
        with_checkpoints ? std::string_view(task.checkpoint) : "";
    if (task.done || (task.failed_runs.empty() && checkpoint.empty())) {
      continue;
    }
    rows.push_back(
        json::array{i, json::value_from(task.failed_runs), checkpoint});
  }
  return rows;
}

// Returns the steps of a repetition, up to the last one with progress.
json::array EncodeSteps(const repetition_state& repetition,
                        bool with_checkpoints) {
  json::array steps;
  std::size_t used = 0;
  for (const step_state& step : repetition.steps) {
    std::string bits;
    for (const task_state& task : step.tasks) bits += task.done ? '1' : '0';
    json::array tasks = EncodeTasks(step, with_checkpoints);
    const bool has_progress = step.done_count > 0 || !tasks.empty();
    steps.push_back(
        json::object{{"done", std::move(bits)}, {"tasks", std::move(tasks)}});
    if (has_progress) used = steps.size();
  }
  steps.resize(used);
  return steps;
}

// Adds a number, higher than those before it, to rows [first, last].
void AddToRanges(json::array& ranges, int number) {
  if (!ranges.empty()) {
    json::value& last = ranges.back().get_array()[1];
    if (last.get_int64() == number - 1) {
      last = number;
      return;
    }
  }
  ranges.push_back(json::array{number, number});
}

// A created repetition that is neither in "finished" nor in "repetitions" has
// no progress.
std::string Encode(const job_state& job, bool with_checkpoints) {
  json::array finished;
  json::array repetitions;
  for (const auto& [number, repetition] : job.repetitions) {
    if (job.IsFinished()) break;
    if (repetition.done) {
      AddToRanges(finished, number);
      continue;
    }
    json::array steps = EncodeSteps(repetition, with_checkpoints);
    if (steps.empty()) continue;
    repetitions.push_back(json::object{
        {"number", number}, {"done", false}, {"steps", std::move(steps)}});
  }
  json::object wire{{"state", JobPhaseName(job.phase)},
                    {"author", job.author},
                    {"created", job.created_repetitions},
                    {"data_centres", json::value_from(job.data_centres)},
                    {"finished", std::move(finished)},
                    {"repetitions", std::move(repetitions)}};
  const int run_limit = std::max(job.run_limit, job.earlier_run_limit);
  if (run_limit > 0) wire["run_limit"] = run_limit;
  return json::serialize(wire);
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

// Returns the finished repetitions in a record. Records of earlier releases
// have them among the others.
std::map<int, repetition_state> DecodeFinished(const json::object& wire,
                                               int total) {
  std::map<int, repetition_state> repetitions;
  const json::value* finished = wire.if_contains("finished");
  if (!finished) return repetitions;
  for (const json::value& entry : finished->as_array()) {
    const json::array& range = entry.as_array();
    const int last = std::min(range.at(1).to_number<int>(), total - 1);
    for (int i = std::max(0, range.at(0).to_number<int>()); i <= last; ++i) {
      repetitions[i].done = true;
    }
  }
  return repetitions;
}

}  // namespace

std::string EncodeProgress(const job_state& job, std::size_t max_bytes) {
  std::string text = Encode(job, true);
  return text.size() <= max_bytes ? text : Encode(job, false);
}

int MaxOpenRepetitions(const fleet::job_record& job, std::size_t max_bytes) {
  const auto failed_runs =
      static_cast<std::size_t>(std::max(0, job.max_attempts - 1));
  std::size_t bytes = kRepetitionBytes;
  for (const fleet::task_step& step : job.request.steps) {
    const auto tasks = static_cast<std::size_t>(step.count);
    bytes += kStepBytes + tasks * (kTaskBytes + failed_runs * kFailedRunBytes);
  }
  if (max_bytes <= kRecordBytes) return 1;
  return static_cast<int>(std::clamp<std::size_t>(
      (max_bytes - kRecordBytes) / bytes, 1, std::numeric_limits<int>::max()));
}

std::string DecodeAuthor(std::string_view text) {
  return DecodeString(text, "author");
}

job_phase DecodePhase(std::string_view text) {
  return ParseJobPhase(DecodeString(text, "state"));
}

result<success> DecodeProgress(std::string_view text, job_state& job) try {
  const json::object wire = json::parse(text).as_object();
  const int total = std::max(1, job.record.request.repetitions);
  const job_phase phase = ParseJobPhase(wire.at("state").as_string().c_str());
  const int created = std::min(wire.at("created").to_number<int>(), total);
  std::set<std::string> data_centres;
  for (const json::value& name : wire.at("data_centres").as_array()) {
    data_centres.insert(name.as_string().c_str());
  }
  const json::value* run_limit = wire.if_contains("run_limit");
  const int earlier_run_limit = run_limit ? run_limit->to_number<int>() : 0;
  std::map<int, repetition_state> repetitions = DecodeFinished(wire, total);
  for (const json::value& entry : wire.at("repetitions").as_array()) {
    const json::object& row = entry.as_object();
    repetition_state repetition = MakeRepetition(job.record.request);
    repetition.done = row.at("done").as_bool();
    const json::array& steps = row.at("steps").as_array();
    for (std::size_t i = 0; i < steps.size() && i < repetition.steps.size();
         ++i) {
      DecodeStep(steps[i].as_object(), repetition.steps[i]);
    }
    repetitions[row.at("number").to_number<int>()] = std::move(repetition);
  }
  job.phase = phase;
  job.earlier_run_limit = std::max(job.earlier_run_limit, earlier_run_limit);
  job.data_centres.merge(data_centres);
  if (job.IsFinished()) {
    job.repetitions.clear();
    job.created_repetitions = created;
    return success{};
  }
  for (auto& [number, repetition] : repetitions) {
    job.started |=
        repetition.done || std::ranges::any_of(repetition.steps, HasBegunTasks);
    job.repetitions[number] = std::move(repetition);
  }
  for (int i = job.created_repetitions; i < created; ++i) {
    if (!job.repetitions.contains(i)) {
      job.repetitions[i] = MakeRepetition(job.record.request);
    }
  }
  job.created_repetitions = std::max(job.created_repetitions, created);
  return success{};
} catch (const std::exception&) {
  return Unreadable();
}

}  // namespace radishwing::sched

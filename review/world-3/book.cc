#include "review/world-3/book.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace review {

task_id task_id::Parse(const std::string& name) {
  task_id out;
  const std::size_t dot = name.find('.');
  out.job = name.substr(0, dot);
  std::sscanf(name.c_str() + dot, ".%d.%d.%d", &out.repetition, &out.step,
              &out.index);
  return out;
}

book::book(const std::string& record_path)
    : origin_(clock_.Now()), record_(record_path) {}

void book::Note(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ",
                static_cast<double>(Now()) / 1000);
  record_ << time << line << std::endl;
}

void book::Break(const std::string& rule, const std::string& what) {
  breaks_.push_back(rule + " " + what);
  Note("BROKEN " + rule + " " + what);
}

job_plan& book::AddJob(job_plan job) {
  const std::string id = job.id;
  return jobs_[id] = std::move(job);
}

job_plan* book::FindJob(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const step_plan* book::FindStep(const task_id& task) {
  const job_plan* job = FindJob(task.job);
  const auto step = static_cast<std::size_t>(task.step);
  return job && step < job->steps.size() ? &job->steps[step] : nullptr;
}

bool book::IsDone(const std::string& task) {
  return std::ranges::any_of(runs_[task],
                             [](const run& r) { return r.how == "done"; });
}

std::size_t book::RecordStart(const std::string& task, int number,
                              const std::string& runner,
                              const std::string& spec) {
  const task_id id = task_id::Parse(task);
  const step_plan* step = FindStep(id);
  const job_plan* job = FindJob(id.job);
  std::vector<run>& runs = runs_[task];
  Note("start " + task + " run " + std::to_string(number) + " on " + runner);
  if (!step || id.index >= step->count) {
    Break("UNASKED", task + " was never submitted");
  } else {
    if (job->spec != spec) Break("UNASKED", task + " has another spec");
    for (const run& other : runs) {
      if (other.how.empty() && !other.lost && !step->speculative) {
        Break("TWICE", task + " run " + std::to_string(number) + " on " +
                           runner + " beside run " +
                           std::to_string(other.number) + " on " +
                           other.runner);
      }
    }
    for (const int before : step->after) {
      const step_plan& earlier = job->steps[static_cast<std::size_t>(before)];
      bool gang_done = false;
      int done = 0;
      for (int i = 0; i < earlier.count; ++i) {
        task_id other = id;
        other.step = before;
        other.index = i;
        if (IsDone(other.Text())) ++done;
      }
      gang_done = earlier.gang && done > 0;
      if (done < earlier.count && !gang_done) {
        Break("ORDER", task + " before step " + std::to_string(before));
      }
    }
    if (job->repetitions > 0) {
      const millis due = job->first_ms + id.repetition * job->interval_ms;
      const millis early = due - radishwing::clock::Wall().Now();
      if (early > 250) {
        Break("ORDER", task + " starts " + std::to_string(early) +
                           " ms before its time");
      }
    }
  }
  run begun;
  begun.runner = runner;
  begun.number = number;
  begun.started_at = Now();
  runs.push_back(begun);
  return runs.size() - 1;
}

void book::RecordEnd(const std::string& task, std::size_t position,
                     const std::string& how) {
  run& entry = runs_[task].at(position);
  entry.ended_at = Now();
  entry.how = how;
  Note("end " + task + " run " + std::to_string(entry.number) + " on " +
       entry.runner + " " + how);
}

void book::RecordNoted(const std::string& task, std::size_t position) {
  run& entry = runs_[task].at(position);
  if (entry.noted_at < 0) {
    entry.noted_at = Now();
    Note("noted " + task + " run " + std::to_string(entry.number));
  }
}

void book::RecordLapse(const std::string& task, std::size_t position) {
  run& entry = runs_[task].at(position);
  if (entry.noted_at < 0) entry.lapsed_before_note = true;
}

void book::CheckStartsAfterEnds() {
  for (const auto& [task, runs] : runs_) {
    const step_plan* step = FindStep(task_id::Parse(task));
    if (!step || step->speculative || step->long_running) continue;
    for (const run& done : runs) {
      if (done.how != "done" || done.noted_at < 0 || done.lapsed_before_note)
        continue;
      for (const run& later : runs) {
        if (later.started_at > done.ended_at) {
          Break("TWICE", task + " run " + std::to_string(later.number) +
                             " starts after run " +
                             std::to_string(done.number) + " was done");
        }
      }
    }
  }
}

}  // namespace review

#pragma once

#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "review/world-3/job.h"
#include "src/base/clock.h"

namespace review {

/// Parts of a task's name, ID.K.STEP.INDEX.
struct task_id {
  std::string job;
  int repetition = 0;
  int step = 0;
  int index = 0;

  static task_id Parse(const std::string& name);
  std::string Text() const {
    return job + "." + std::to_string(repetition) + "." + std::to_string(step) +
           "." + std::to_string(index);
  }
  std::string StepText() const {
    return job + "." + std::to_string(repetition) + "." + std::to_string(step);
  }
};

/// What the stand-ins saw: jobs that clients sent, runs of their tasks. Checks
/// the rules that can be checked at once and keeps the rest for the end.
class book {
 public:
  explicit book(const std::string& record_path);

  struct run {
    std::string runner;
    int number = 0;
    millis started_at = 0;
    millis ended_at = -1;
    std::string how;  ///< Empty while the run is active.
    millis noted_at = -1;
    bool lapsed_before_note = false;
    bool lost = false;  ///< Its runner crashed.
  };

  millis Now() const { return clock_.Now() - origin_; }
  /// Writes a line to the record.
  void Note(const std::string& line);
  /// Records that a rule was broken.
  void Break(const std::string& rule, const std::string& what);
  bool Broken() const { return !breaks_.empty(); }
  const std::vector<std::string>& Breaks() const { return breaks_; }

  job_plan& AddJob(job_plan job);
  job_plan* FindJob(const std::string& id);
  std::map<std::string, job_plan>& Jobs() { return jobs_; }
  const step_plan* FindStep(const task_id& task);

  /// A runner has begun a task. Returns the run's position in Runs().
  std::size_t RecordStart(const std::string& task, int number,
                          const std::string& runner, const std::string& spec);
  void RecordEnd(const std::string& task, std::size_t run,
                 const std::string& how);
  void RecordNoted(const std::string& task, std::size_t run);
  void RecordLapse(const std::string& task, std::size_t run);
  const std::vector<run>& Runs(const std::string& task) { return runs_[task]; }
  std::map<std::string, std::vector<run>>& AllRuns() { return runs_; }
  bool IsDone(const std::string& task);
  /// Checks TWICE for starts after noted ends. Call it at the end.
  void CheckStartsAfterEnds();

 private:
  radishwing::clock clock_ = radishwing::clock::Monotonic();
  millis origin_;
  std::ofstream record_;
  std::vector<std::string> breaks_;
  std::map<std::string, job_plan> jobs_;
  std::map<std::string, std::vector<run>> runs_;
};

}  // namespace review

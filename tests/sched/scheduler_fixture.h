#pragma once

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/fleet/job_record.h"
#include "src/sched/scheduler.h"

namespace radishwing::sched {

/// A scheduler with one pool and one team. Tests supply its events and times.
struct scheduler_fixture {
  scheduler_fixture() {
    fleet::fleet_config config;
    config.version = 1;
    config.pools.push_back({"pool", false, false});
    config.teams.push_back({"team", {"key"}, 1.0, {}});
    subject.SetConfig(config);
  }

  /// Adds a runner that is in the runner set in the store and whose first
  /// listing contains no runs. Its capacity is `millicores`.
  void AddRunner(const std::string& id, std::int64_t millicores = 4000,
                 const std::string& data_centre = "dc") {
    fleet::runner_report report;
    report.id = id;
    report.pool = "pool";
    report.data_centre = data_centre;
    report.capacity = {millicores, 65536, 0};
    subject.AddRunner(report);
    recorded_ids.insert(id);
    subject.SetRecordedRunners(recorded_ids);
    ReportListing(id, {});
  }

  /// Returns a step of `count` tasks that each need `millicores`.
  static fleet::task_step Step(int count, std::int64_t millicores = 1000) {
    fleet::task_step step;
    step.count = count;
    step.needs = {millicores, 100, 0};
    step.estimate_ms = 500;
    return step;
  }

  /// Adds a job that fails when a task has `attempts` failed runs. If
  /// `restored` is true, also restores a progress record without repetitions.
  /// `stored_revision` is the revision of the job's key.
  void AddJob(const std::string& id, std::vector<fleet::task_step> steps,
              bool restored = false, int attempts = 2,
              std::uint64_t stored_revision = 0) {
    fleet::job_record record;
    record.id = id;
    record.queue = "queue";
    record.pool = "pool";
    record.team = "team";
    record.max_attempts = attempts;
    record.stretch = 2;
    record.target_ms = 600;
    record.accepted_unix_ms = now;
    record.stored_revision = stored_revision;
    record.request.steps = std::move(steps);
    subject.AddJob(std::move(record), restored, now, now);
    if (!restored) return;
    // An earlier leader persists this progress record before it sends the job's
    // first start order.
    BOOST_REQUIRE(Ok(subject.RestoreProgress(
        id,
        R"({"state":"pending","created":1,"data_centres":["dc"],)"
        R"("repetitions":[]})",
        5, now)));
  }

  /// Performs a scheduling pass, persists the changed progress of jobs, and
  /// performs another pass if any progress was persisted. Returns the orders.
  std::vector<order> Plan() {
    std::vector<order> orders = subject.Plan(now, now);
    if (!PersistProgress()) return orders;
    const std::vector<order> more = subject.Plan(now, now);
    orders.insert(orders.end(), more.begin(), more.end());
    return orders;
  }

  /// Reports all changed progress of jobs as persisted. Returns false if no
  /// progress had changed.
  bool PersistProgress() {
    const auto writes = subject.TakeWrites(1000);
    for (const pending_write& write : writes) {
      subject.ReportWriteSuccess(write.job, write.progress_version,
                                 ++store_revision);
    }
    return !writes.empty();
  }

  /// Calls Plan and reports every order as accepted.
  std::vector<order> PlanAndAccept() {
    const std::vector<order> orders = Plan();
    for (const order& given : orders) {
      subject.ApplyOrderOutcome(given, fleet::order_outcome::kAccepted, now);
    }
    return orders;
  }

  /// Applies a listing that was requested at `now`.
  std::vector<recorded_end> ReportListing(const std::string& runner,
                                          fleet::runner_listing listing) {
    return subject.ApplyListing(runner, listing, now, now);
  }

  /// Returns a listing that contains only the end of a run.
  static fleet::runner_listing End(std::uint64_t number,
                                   const fleet::task_name& task, int run,
                                   fleet::run_end how) {
    fleet::runner_listing listing;
    listing.ended.push_back({number, task, run, how, ""});
    return listing;
  }

  millis now = 1000;
  std::uint64_t store_revision = 100;  ///< Revision of the last write.
  /// Ids of the runners that are in the runner set in the store.
  std::set<std::string> recorded_ids;
  scheduler subject{1};
};

}  // namespace radishwing::sched

#pragma once

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/control/duty_lease.h"
#include "src/control/host_board.h"
#include "src/control/host_steps.h"
#include "src/control/planned_drain.h"

namespace radishwing::control {

/// Carries out everything that happens to the hosts of this data centre, one
/// step of each host per round: adoption, failures, drains, maintenance,
/// returns and operators' orders. One control of the data centre does it; two
/// at once do no harm, see host_steps. Used on the decide thread.
class host_duty : private kj::TaskSet::ErrorHandler {
 public:
  host_duty(kj::Timer& timer, clock now, const control_options& options,
            store_port& store, host_board& board);

  /// How long this data centre is cut off, in ms. While it is, no drain starts.
  std::function<millis()> cut_off_ms;

  /// Drains that plans want now; asked in each round while the duty is held.
  std::vector<std::function<std::vector<planned_drain>()>> plans;

  void Start();
  kj::Promise<void> Stop();

  bool Held() { return lease_.Held(); }

  /// Why a drain that a plan wanted was not granted last; empty if it was.
  std::string Refusal(const std::string& host) const;

 private:
  using work = std::function<kj::Promise<result<done>>()>;
  struct task {
    std::string what;  ///< For the log.
    std::string host;
    work run;
  };
  using tasks = std::vector<task>;

  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<void> Loop();
  kj::Promise<void> Round();
  kj::Promise<void> RunAll(std::shared_ptr<tasks> list, std::size_t next);
  static bool Has(const tasks& list, const std::string& host);
  void AddAdoptions(tasks& list);
  void AddSyncs(tasks& list);
  void AddHostSteps(tasks& list);
  void AddHostStep(tasks& list, const host_facts& facts);
  void AddOrder(tasks& list, const host_facts& facts);
  void AddPlans(tasks& list);
  kj::Promise<result<done>> FinishOrder(const order_record& order);
  kj::Promise<result<done>> Maintain(const maintenance::host_record& record);
  kj::Promise<result<done>> Return(const host_facts& facts);
  std::string PoolFor(const std::string& host) const;
  std::map<std::string, host_facts> OwnHosts();
  bool MayStop() const { return !cut_off_ms || cut_off_ms() == 0; }

  kj::Timer& timer_;
  clock clock_;
  const control_options& options_;
  store_port& store_;
  host_board& board_;
  host_steps steps_;
  duty_lease lease_;
  std::map<std::string, std::string> refusals_;
  kj::Own<kj::TaskSet> tasks_;
};

}  // namespace radishwing::control

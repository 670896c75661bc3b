#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/maintenance/host_transitions.h"
#include "src/maintenance/ledger_transitions.h"
#include "src/maintenance/wave_planner.h"
#include "tests/support/interleaving.h"

namespace radishwing::test {

/// Two pools, a spare pool and two controls that run the same wave from copies
/// of the records that may be old. Answers of the store get lost and hosts
/// fail.
class fleet_world {
 public:
  explicit fleet_world(choices& choices);

  /// Lets one thing happen. Returns the broken invariant, or an empty text.
  std::string Step();

  std::uint32_t Maintained() const;

 private:
  template <typename T>
  struct versioned {
    T record;
    std::uint64_t version = 1;
  };
  using ledgers = std::map<std::string, versioned<maintenance::ledger_record>>;
  using hosts = std::map<std::string, versioned<maintenance::host_record>>;
  struct granted_drain {
    versioned<maintenance::host_record> host;  ///< As read before the grant.
    std::string reason;
    std::string next_pool;
  };
  struct pending_release {
    std::string pool;
    std::uint64_t version = 0;
    std::string host;
  };
  /// What one control read last.
  struct control {
    ledgers seen_ledgers;
    hosts seen_hosts;
    maintenance::wave_plan plan;
  };

  bool Write(const std::string& pool, std::uint64_t version,
             const result<maintenance::ledger_record>& next);
  bool Write(const std::string& host, std::uint64_t version,
             const result<maintenance::host_record>& next);
  void Plan(control& control);
  void Act(control& control);
  void OperatorDrain(const std::string& name);
  void Drain();
  void Release();
  void Advance(const std::string& name);
  void Fail(const std::string& name);
  void Reconcile(const std::string& name);
  std::string Check() const;

  choices& choices_;
  ledgers ledgers_;
  hosts hosts_;
  control controls_[2];
  std::vector<granted_drain> drains_;
  std::vector<pending_release> releases_;
};

}  // namespace radishwing::test

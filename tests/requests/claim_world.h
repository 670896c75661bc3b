#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/requests/claim_table.h"
#include "src/requests/roster_transitions.h"
#include "tests/support/interleaving.h"

namespace radishwing::test {

/// Controls in two data centres that hold claims, and entries that claim a few
/// identifiers again and again. Messages get lost or late, controls crash, come
/// back and learn of a new roster at different times.
class claim_world {
 public:
  explicit claim_world(choices& choices);

  /// Lets one thing happen. Returns the broken invariant, or an empty text.
  std::string Step();

  int Fresh() const { return fresh_; }

 private:
  struct control {
    std::string id;
    std::string data_centre;
    int incarnation = 1;
    std::unique_ptr<requests::claim_table> table;
  };
  struct replication {
    requests::claim claim;
    std::string primary;
    std::string second;
    std::uint64_t epoch = 0;
    std::optional<requests::claim_answer> answer;
    bool delivered = false;
  };

  control* Find(const std::string& id);
  requests::roster_record Read() const;
  void Write(const result<requests::roster_record>& next);
  void Crash(control& control);
  void ChangeRoster(control& control);
  void HandOver(control& control);
  std::string Claim();
  void DeliverReplication();
  std::string EndReplication();
  std::string Granted(const requests::claim& claim);
  void Finish();

  choices& choices_;
  std::vector<control> controls_;
  std::string store_;
  std::vector<replication> replications_;
  /// Per identifier, the owner whose run has not been finished as not run.
  std::map<std::string, std::string> runs_;
  std::vector<requests::claim> not_run_;
  int next_owner_ = 0;
  int fresh_ = 0;
};

}  // namespace radishwing::test

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/runner_ticket.h"

namespace radishwing::sched {

/// Caches the advice service's answers on which runners the policy of a queue
/// allows for a step. Denials are kept, as the policy does not change; a ticket
/// is valid for a limited time and for one incarnation of its runner.
class ticket_cache {
 public:
  /// Returns the ticket for `step` on `runner`, or null if none is valid at
  /// `now`.
  const std::string* Find(const std::string& step, const std::string& runner,
                          millis now) const {
    const auto known = steps_.find(step);
    if (known == steps_.end()) return nullptr;
    const auto ticket = known->second.tickets.find(runner);
    if (ticket == known->second.tickets.end()) return nullptr;
    return now < ticket->second.until ? &ticket->second.text : nullptr;
  }

  /// Returns true if the service has denied `runner` for `step`.
  bool IsDenied(const std::string& step, const std::string& runner) const {
    const auto known = steps_.find(step);
    return known != steps_.end() && known->second.denied.contains(runner);
  }

  /// Stores the answer to a query for the runners `asked`. The tickets in
  /// `allowed` are valid until `until`; all other runners are denied.
  void Update(const std::string& step, const std::vector<std::string>& asked,
              const std::vector<fleet::runner_ticket>& allowed, millis until) {
    step_tickets& known = steps_[step];
    known.denied.insert(asked.begin(), asked.end());
    for (const fleet::runner_ticket& ticket : allowed) {
      known.denied.erase(ticket.runner);
      known.tickets[ticket.runner] = {ticket.text, until};
    }
  }

  /// Drops a ticket that the runner rejected, so that it is requested again.
  void Invalidate(const std::string& step, const std::string& runner) {
    const auto known = steps_.find(step);
    if (known != steps_.end()) known->second.tickets.erase(runner);
  }

  /// Drops the tickets of a runner that was removed or restarted.
  void DropRunner(const std::string& runner) {
    for (auto& [step, known] : steps_) known.tickets.erase(runner);
  }

  /// Drops the entries of all steps of a finished job.
  void DropJob(const std::string& job) {
    const std::string prefix = job + ".";
    auto it = steps_.lower_bound(prefix);
    while (it != steps_.end() && it->first.starts_with(prefix)) {
      it = steps_.erase(it);
    }
  }

 private:
  struct ticket {
    std::string text;
    millis until = 0;
  };
  struct step_tickets {
    std::map<std::string, ticket> tickets;  ///< By runner.
    std::set<std::string> denied;
  };
  std::map<std::string, step_tickets> steps_;
};

}  // namespace radishwing::sched

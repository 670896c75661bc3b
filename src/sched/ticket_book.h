#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/runner_ticket.h"

namespace radishwing::sched {

/// Which runners the policy of a queue allows for a step, as far as the advice
/// service has said. The policy does not change; a ticket is valid for some
/// time and for one life of its runner.
class ticket_book {
 public:
  /// The ticket for `step` on `runner`, or null if none is valid at `now`.
  const std::string* Find(const std::string& step, const std::string& runner,
                          millis now) const {
    const auto known = steps_.find(step);
    if (known == steps_.end()) return nullptr;
    const auto ticket = known->second.tickets.find(runner);
    if (ticket == known->second.tickets.end()) return nullptr;
    return now < ticket->second.until ? &ticket->second.text : nullptr;
  }

  /// True if the service has refused `runner` for `step`.
  bool Refused(const std::string& step, const std::string& runner) const {
    const auto known = steps_.find(step);
    return known != steps_.end() && known->second.refused.contains(runner);
  }

  /// The service was asked for `asked` and has allowed `allowed`, whose tickets
  /// are valid until `until`.
  void Answered(const std::string& step, const std::vector<std::string>& asked,
                const std::vector<fleet::runner_ticket>& allowed,
                millis until) {
    step_tickets& known = steps_[step];
    known.refused.insert(asked.begin(), asked.end());
    for (const fleet::runner_ticket& ticket : allowed) {
      known.refused.erase(ticket.runner);
      known.tickets[ticket.runner] = {ticket.text, until};
    }
  }

  /// A runner did not take the ticket: it is asked for again.
  void Forget(const std::string& step, const std::string& runner) {
    const auto known = steps_.find(step);
    if (known != steps_.end()) known->second.tickets.erase(runner);
  }

  /// `runner` has ended or begun another life.
  void DropRunner(const std::string& runner) {
    for (auto& [step, known] : steps_) known.tickets.erase(runner);
  }

  /// The job's steps need no tickets any more.
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
    std::set<std::string> refused;
  };
  std::map<std::string, step_tickets> steps_;
};

}  // namespace radishwing::sched

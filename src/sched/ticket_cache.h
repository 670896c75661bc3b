#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/runner_ticket.h"

namespace radishwing::sched {

/// Caches the answers of the advice service: tickets for the runners that may
/// run a step, and denials for other runners. Denials do not expire, as the
/// policy of a queue does not change. A ticket is valid for a limited time and
/// for one incarnation of its runner.
class ticket_cache {
 public:
  /// Returns the text of the ticket for the step named `step` on the runner
  /// with the id `runner`, or null if no such ticket is valid at `now`.
  const std::string* Find(const std::string& step, const std::string& runner,
                          millis now) const {
    const auto entry = steps_.find(step);
    if (entry == steps_.end()) return nullptr;
    const auto ticket = entry->second.tickets.find(runner);
    if (ticket == entry->second.tickets.end()) return nullptr;
    return now < ticket->second.expires_at ? &ticket->second.text : nullptr;
  }

  /// Returns true if the advice service has denied `runner` for `step`.
  bool IsDenied(const std::string& step, const std::string& runner) const {
    const auto entry = steps_.find(step);
    return entry != steps_.end() && entry->second.denied.contains(runner);
  }

  /// Stores the advice service's answer to a query about the runner ids
  /// `queried`. The tickets in `allowed` are used until `expires_at`; from
  /// `doubtful_from` on, the runners may refuse them. The service denied the
  /// runners in `queried` that have no ticket in `allowed`.
  void Update(const std::string& step, const std::vector<std::string>& queried,
              const std::vector<fleet::runner_ticket>& allowed,
              millis doubtful_from, millis expires_at) {
    step_tickets& entry = steps_[step];
    entry.denied.insert(queried.begin(), queried.end());
    for (const fleet::runner_ticket& ticket : allowed) {
      entry.denied.erase(ticket.runner);
      entry.tickets[ticket.runner] = {ticket.text, doubtful_from, expires_at};
    }
  }

  /// Drops a ticket that the runner rejected at `now`, so that the scheduler
  /// requests a new one. If the ticket was doubtful, drops all doubtful tickets
  /// of the step.
  void Invalidate(const std::string& step, const std::string& runner,
                  millis now) {
    const auto entry = steps_.find(step);
    if (entry == steps_.end()) return;
    auto& tickets = entry->second.tickets;
    const auto rejected = tickets.find(runner);
    if (rejected == tickets.end()) return;
    const bool doubtful = now >= rejected->second.doubtful_from;
    tickets.erase(rejected);
    if (!doubtful) return;
    std::erase_if(tickets, [now](const auto& other) {
      return now >= other.second.doubtful_from;
    });
  }

  /// Drops the tickets of a runner that was removed or restarted.
  void DropRunner(const std::string& runner) {
    for (auto& [step, entry] : steps_) entry.tickets.erase(runner);
  }

  /// Drops the tickets and denials for all steps of the finished job with the
  /// id `job`.
  void DropJob(const std::string& job) {
    const std::string prefix = job + ".";
    auto it = steps_.lower_bound(prefix);
    while (it != steps_.end() && it->first.starts_with(prefix)) {
      it = steps_.erase(it);
    }
  }

 private:
  struct ticket {
    std::string text;  ///< Opaque text that a start order must contain.
    /// From this time on, runners may already refuse the ticket.
    millis doubtful_from = 0;
    millis expires_at = 0;
  };
  /// Answers of the advice service for one step.
  struct step_tickets {
    std::map<std::string, ticket> tickets;  ///< By runner id.
    std::set<std::string> denied;           ///< Ids of denied runners.
  };
  std::map<std::string, step_tickets> steps_;  ///< By step name.
};

}  // namespace radishwing::sched

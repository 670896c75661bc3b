#include "src/control/explain_service.h"

#include <algorithm>
#include <boost/json.hpp>

namespace radishwing::control {

namespace json = boost::json;

void explain_service::AddCutOff(reasons& list) {
  const millis silent = cut_off_ms ? cut_off_ms() : 0;
  if (silent == 0) return;
  list.push_back("data centre " + board_.Options().data_centre +
                 " is cut off for " + std::to_string(silent / 1000) +
                 " s: no drain or move starts, and teams with when_cut_off "
                 "\"refuse\" are refused");
}

explain_service::reasons explain_service::OfHost(const std::string& host) {
  reasons list;
  const auto* record = board_.Record(host);
  if (record == nullptr) {
    list.push_back("host " + host + " has no record yet");
    return list;
  }
  list.push_back("host " + host + " is " +
                 std::string(HostStateName(record->state)) + " in pool " +
                 record->pool);
  if (std::string note = board_.Note(host); !note.empty()) {
    list.push_back(note);
  }
  if (std::string refusal = duty_.Refusal(host); !refusal.empty()) {
    list.push_back("last step refused: " + refusal);
  }
  if (const auto* ledger = board_.Ledger(record->pool)) {
    list.push_back("pool " + record->pool + " has " +
                   std::to_string(ledger->Available()) +
                   " available hosts, floor " + std::to_string(ledger->floor));
  }
  if (record->data_centre != board_.Options().data_centre) {
    list.push_back("data centre " + record->data_centre +
                   " decides on this host; its controls know more");
  }
  AddCutOff(list);
  return list;
}

explain_service::reasons explain_service::OfTeam(const std::string& team) {
  reasons list;
  auto found = tokens_.Teams().find(team);
  if (found == tokens_.Teams().end() || !found->second->record) {
    list.push_back("team " + team + " has no tokens at this control");
    AddCutOff(list);
    return list;
  }
  const team_state& state = *found->second;
  list.push_back("upper limit in effect " +
                 std::to_string(state.record->limit) + ", here " +
                 std::to_string(state.account.InUse()) + " in use and " +
                 std::to_string(state.account.Free()) + " free");
  if (state.account.Excess() > 0) {
    list.push_back("a lowered limit is pending: " +
                   std::to_string(state.account.Excess()) +
                   " tokens are still to be returned here");
  }
  if (state.account.Free() == 0) {
    list.push_back(
        "no free token here: requests wait until one is returned "
        "or lent by another control");
  }
  AddCutOff(list);
  return list;
}

explain_service::reasons explain_service::OfRequest() {
  reasons list;
  const auto& tree = board_.Keeper().Tree();
  if (!tree) {
    list.push_back("no settings are known: entries refuse everything");
    return list;
  }
  for (const auto& named : tree->services) {
    const std::string& name = named.first;
    const std::string& pool = named.second.pool;
    const auto& runners = board_.Poller().Sources().live.runners;
    const bool served =
        std::any_of(runners.begin(), runners.end(), [&](const live_runner& r) {
          const auto* record = board_.Record(r.host);
          return r.service == name && !r.leaving && record != nullptr &&
                 record->state == maintenance::host_state::kActive &&
                 record->pool == pool;
        });
    if (!served) {
      list.push_back("service " + name + " has no runner that accepts work");
    }
  }
  AddCutOff(list);
  if (list.empty()) {
    list.push_back(
        "nothing known here refuses requests; the response of the "
        "entry names the reason");
  }
  return list;
}

void explain_service::Explain(const explain_subject& subject,
                              json_completion completion) {
  reasons list;
  switch (subject.what) {
    case explain_subject::kind::kRequest:
      list = OfRequest();
      break;
    case explain_subject::kind::kHost:
      list = OfHost(subject.name);
      break;
    case explain_subject::kind::kTeam:
      list = OfTeam(subject.name);
      break;
  }
  json::array shown;
  for (const std::string& reason : list) shown.emplace_back(reason);
  completion(json::value(json::object{{"reasons", std::move(shown)}}));
}

}  // namespace radishwing::control

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "src/requests/claim.h"
#include "src/routing/runner_info.h"
#include "src/rpc/entry_link.h"
#include "src/rpc/hello.h"
#include "src/rpc/radishwing.capnp.h"
#include "src/rpc/settings_text.h"

namespace radishwing::rpc {

/// Conversions between Cap'n Proto messages and plain values. Reading never
/// fails: values out of an enumeration's range become the safest one.

std::string ToString(capnp::Text::Reader text);
capnp::Text::Reader ToText(const std::string& text);

hello Read(Hello::Reader from);
void Write(const hello& from, Hello::Builder to);

routing::runner_info Read(RunnerInfo::Reader from);
void Write(const routing::runner_info& from, RunnerInfo::Builder to);

token_grant Read(TeamTokens::Reader from);
void Write(const token_grant& from, TeamTokens::Builder to);

team_usage Read(TeamUsage::Reader from);
void Write(const team_usage& from, TeamUsage::Builder to);

host_in_flight Read(HostInFlight::Reader from);
void Write(const host_in_flight& from, HostInFlight::Builder to);

service_counters Read(ServiceCounters::Reader from);
void Write(const service_counters& from, ServiceCounters::Builder to);

requests::claim Read(Claim::Reader from);
void Write(const requests::claim& from, Claim::Builder to);

requests::claim_answer Read(ClaimAnswer::Reader from);
void Write(const requests::claim_answer& from, ClaimAnswer::Builder to);

requests::outcome Read(Outcome from);
Outcome Write(requests::outcome from);

job_request Read(JobRequest::Reader from);
void Write(const job_request& from, JobRequest::Builder to);

job_answer Read(JobAnswer::Reader from);
void Write(const job_answer& from, JobAnswer::Builder to);

settings_text Read(SettingsText::Reader from);
void Write(const settings_text& from, SettingsText::Builder to);

/// Reads a list into a vector of the plain type.
template <typename Value, typename List>
std::vector<Value> ReadList(const List& from) {
  std::vector<Value> values;
  values.reserve(from.size());
  for (auto item : from) values.push_back(Read(item));
  return values;
}

/// Writes a vector into a list of the same size.
template <typename Values, typename List>
void WriteList(const Values& from, List to) {
  unsigned index = 0;
  for (const auto& value : from) Write(value, to[index++]);
}

}  // namespace radishwing::rpc

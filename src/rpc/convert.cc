#include "src/rpc/convert.h"

namespace radishwing::rpc {

std::string ToString(capnp::Text::Reader text) {
  return std::string(text.begin(), text.size());
}

capnp::Text::Reader ToText(const std::string& text) {
  return capnp::Text::Reader(text.c_str(), text.size());
}

hello Read(Hello::Reader from) {
  return {ToString(from.getHost()), ToString(from.getDataCentre()),
          from.getIncarnation(), ToString(from.getAddress())};
}

void Write(const hello& from, Hello::Builder to) {
  to.setHost(ToText(from.host));
  to.setDataCentre(ToText(from.data_centre));
  to.setIncarnation(from.incarnation);
  to.setAddress(ToText(from.address));
}

routing::runner_info Read(RunnerInfo::Reader from) {
  routing::runner_info to;
  to.id = ToString(from.getId());
  to.service = ToString(from.getService());
  to.host = ToString(from.getHost());
  to.data_centre = ToString(from.getDataCentre());
  to.rack = ToString(from.getRack());
  to.address = ToString(from.getAddress());
  to.slots = from.getSlots();
  to.connections = from.getConnections();
  to.accepts_work = from.getAcceptsWork();
  to.host_epoch = from.getHostEpoch();
  return to;
}

void Write(const routing::runner_info& from, RunnerInfo::Builder to) {
  to.setId(ToText(from.id));
  to.setService(ToText(from.service));
  to.setHost(ToText(from.host));
  to.setDataCentre(ToText(from.data_centre));
  to.setRack(ToText(from.rack));
  to.setAddress(ToText(from.address));
  to.setSlots(from.slots);
  to.setConnections(from.connections);
  to.setAcceptsWork(from.accepts_work);
  to.setHostEpoch(from.host_epoch);
}

token_grant Read(TeamTokens::Reader from) {
  return {ToString(from.getTeam()), from.getCount(), from.getEpoch()};
}

void Write(const token_grant& from, TeamTokens::Builder to) {
  to.setTeam(ToText(from.team));
  to.setCount(from.count);
  to.setEpoch(from.epoch);
}

team_usage Read(TeamUsage::Reader from) {
  return {ToString(from.getTeam()), ToString(from.getPool()),
          from.getSlotMillis(), from.getQueued(), from.getRunning()};
}

void Write(const team_usage& from, TeamUsage::Builder to) {
  to.setTeam(ToText(from.team));
  to.setPool(ToText(from.pool));
  to.setSlotMillis(from.slot_ms);
  to.setQueued(from.queued);
  to.setRunning(from.running);
}

host_in_flight Read(HostInFlight::Reader from) {
  return {ToString(from.getHost()), from.getCount()};
}

void Write(const host_in_flight& from, HostInFlight::Builder to) {
  to.setHost(ToText(from.host));
  to.setCount(from.count);
}

service_counters Read(ServiceCounters::Reader from) {
  return {ToString(from.getService()), ToString(from.getTeam()),
          from.getAnswered(),          from.getRefused(),
          from.getUnknown(),           from.getLate()};
}

void Write(const service_counters& from, ServiceCounters::Builder to) {
  to.setService(ToText(from.service));
  to.setTeam(ToText(from.team));
  to.setAnswered(from.answered);
  to.setRefused(from.refused);
  to.setUnknown(from.unknown);
  to.setLate(from.late);
}

settings_text Read(SettingsText::Reader from) {
  return {from.getRevision(), ToString(from.getText()),
          ToString(from.getChangeId()), ToString(from.getAuthor())};
}

void Write(const settings_text& from, SettingsText::Builder to) {
  to.setRevision(from.revision);
  to.setText(ToText(from.text));
  to.setChangeId(ToText(from.change_id));
  to.setAuthor(ToText(from.author));
}

}  // namespace radishwing::rpc

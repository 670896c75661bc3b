#include "src/control/peer_digest.h"

#include "src/rpc/convert.h"

namespace radishwing::control {
namespace {

membership::member ReadMember(rpc::MemberDigest::Reader from) {
  membership::member to;
  to.host = rpc::ToString(from.getHost());
  to.data_centre = rpc::ToString(from.getDataCentre());
  to.address = rpc::ToString(from.getAddress());
  to.incarnation = from.getIncarnation();
  to.heartbeat = from.getHeartbeat();
  to.state = static_cast<membership::member_state>(from.getState());
  if (to.state > membership::member_state::kLeft) {
    to.state = membership::member_state::kAlive;
  }
  to.settings_revision = from.getSettingsRevision();
  to.host_epochs = from.getHostEpochs();
  return to;
}

void WriteMember(const membership::member& from,
                 rpc::MemberDigest::Builder to) {
  to.setHost(rpc::ToText(from.host));
  to.setDataCentre(rpc::ToText(from.data_centre));
  to.setAddress(rpc::ToText(from.address));
  to.setIncarnation(from.incarnation);
  to.setHeartbeat(from.heartbeat);
  to.setState(static_cast<rpc::MemberState>(from.state));
  to.setSettingsRevision(from.settings_revision);
  to.setHostEpochs(from.host_epochs);
}

}  // namespace

peer_digest Read(rpc::Digest::Reader from) {
  peer_digest to;
  to.from = rpc::ToString(from.getFrom());
  for (auto row : from.getMembers()) to.members.push_back(ReadMember(row));
  to.settings_revision = from.getSettingsRevision();
  for (auto row : from.getConfirmations()) {
    to.confirmations.push_back(
        {rpc::ToString(row.getHost()), row.getEpoch(), row.getInFlight()});
  }
  to.usage = rpc::ReadList<rpc::team_usage>(from.getUsage());
  to.spare_tokens = rpc::ReadList<rpc::token_grant>(from.getSpareTokens());
  auto beats = from.getBeats();
  for (unsigned i = 0; i + 1 < beats.size(); i += 2) {
    to.beats.push_back({beats[i], beats[i + 1]});
  }
  return to;
}

void Write(const peer_digest& from, rpc::Digest::Builder to) {
  to.setFrom(rpc::ToText(from.from));
  auto beats = to.initBeats(2 * from.beats.size());
  for (unsigned i = 0; i < from.beats.size(); ++i) {
    beats.set(2 * i, from.beats[i].tag);
    beats.set(2 * i + 1, from.beats[i].heartbeat);
  }
  auto members = to.initMembers(from.members.size());
  for (unsigned i = 0; i < members.size(); ++i) {
    WriteMember(from.members[i], members[i]);
  }
  to.setSettingsRevision(from.settings_revision);
  auto confirmations = to.initConfirmations(from.confirmations.size());
  for (unsigned i = 0; i < confirmations.size(); ++i) {
    confirmations[i].setHost(rpc::ToText(from.confirmations[i].host));
    confirmations[i].setEpoch(from.confirmations[i].epoch);
    confirmations[i].setInFlight(from.confirmations[i].in_flight);
  }
  rpc::WriteList(from.usage, to.initUsage(from.usage.size()));
  rpc::WriteList(from.spare_tokens,
                 to.initSpareTokens(from.spare_tokens.size()));
}

}  // namespace radishwing::control

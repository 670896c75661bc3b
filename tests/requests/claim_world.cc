#include "tests/requests/claim_world.h"

#include <algorithm>

namespace radishwing::test {

using namespace requests;

claim_world::claim_world(choices& choices) : choices_(choices) {
  roster_record record;
  for (int i = 0; i < 5; ++i) {
    control control;
    control.id = "c" + std::to_string(i) + "#1";
    control.data_centre = i % 2 == 0 ? "ams" : "grq";
    control.table =
        std::make_unique<claim_table>(control.id, claim_table_options());
    controls_.push_back(std::move(control));
    if (i == 4) break;
    record.members.push_back(
        {controls_.back().id, controls_.back().data_centre, false});
  }
  record.epoch = 1;
  store_ = FormatRosterRecord(record);
  for (control& control : controls_) control.table->ObserveRoster(record, 0);
}

roster_record claim_world::Read() const {
  return Value(ParseRosterRecord(store_));
}

void claim_world::Write(const result<roster_record>& next) {
  if (Ok(next)) store_ = FormatRosterRecord(Value(next));
}

claim_world::control* claim_world::Find(const std::string& id) {
  for (control& control : controls_) {
    if (control.id == id) return &control;
  }
  return nullptr;
}

void claim_world::Crash(control& control) {
  control.id = control.id.substr(0, control.id.find('#') + 1) +
               std::to_string(++control.incarnation);
  control.table =
      std::make_unique<claim_table>(control.id, claim_table_options());
}

void claim_world::ChangeRoster(control& control) {
  const roster_record record = Read();
  if (!record.Lists(control.id)) {
    for (const roster_member& member : record.members) {
      if (HostOf(member.id) != HostOf(control.id)) continue;
      Write(RemoveMember(record, member.id, "restart"));
      return;
    }
    Write(AddMember(record, control.id, control.data_centre, "add"));
    return;
  }
  if (choices_.Chance(20)) Write(RemoveMember(record, control.id, "remove"));
}

void claim_world::HandOver(control& control) {
  claim_table& table = *control.table;
  for (const std::string& target : table.HandOverTargets()) {
    claim_world::control* other = Find(target);
    if (other == nullptr || choices_.Chance(20)) continue;
    const auto claims = table.HandOverTo(target);
    if (other->table->AcceptHandOver(table.RosterEpoch(), claims, 0) &&
        !choices_.Chance(20)) {
      table.HandOverAccepted(target, table.RosterEpoch());
    }
  }
  if (!table.ReadyToAcknowledge()) return;
  Write(AcknowledgeHandOver(Read(), control.id, table.RosterEpoch(), "ack"));
}

std::string claim_world::Claim() {
  control& asked = controls_[choices_.Below(controls_.size())];
  claim claim;
  claim.request_id = "r" + std::to_string(choices_.Below(2));
  claim.team = "uva";
  claim.digest = "d";
  claim.owner = "e#" + std::to_string(next_owner_++);
  const claim_step step =
      asked.table->BeginClaim(claim, asked.table->RosterEpoch(), 0);
  if (step.answer.state == claim_state::kFresh) return Granted(claim);
  if (step.replicate_to.empty()) return {};
  replications_.push_back({claim, asked.id, step.replicate_to,
                           step.roster_epoch, std::nullopt, false});
  return {};
}

void claim_world::DeliverReplication() {
  if (replications_.empty()) return;
  replication& message = replications_[choices_.Below(replications_.size())];
  control* second = Find(message.second);
  if (message.delivered || second == nullptr) return;
  message.delivered = true;
  const claim_answer answer =
      second->table->Replicate(message.claim, message.epoch, 0);
  if (!choices_.Chance(10)) message.answer = answer;
}

std::string claim_world::Granted(const claim& claim) {
  ++fresh_;
  const auto [run, first] = runs_.emplace(claim.request_id, claim.owner);
  if (first) return {};
  return "I7: " + claim.request_id + " runs for " + run->second + " and " +
         claim.owner;
}

std::string claim_world::EndReplication() {
  if (replications_.empty()) return {};
  const std::size_t index = choices_.Below(replications_.size());
  const replication message = replications_[index];
  if (!message.delivered && !choices_.Chance(10)) return {};
  replications_.erase(replications_.begin() + static_cast<long>(index));
  control* primary = Find(message.primary);
  if (primary == nullptr) return {};
  const claim_answer answer =
      primary->table->EndClaim(message.claim, message.answer, 0);
  if (answer.state != claim_state::kFresh) return {};
  return Granted(message.claim);
}

void claim_world::Finish() {
  if (!not_run_.empty() && choices_.Chance(40)) {
    // A finish of an earlier run arrives late.
    const claim& late = not_run_[choices_.Below(not_run_.size())];
    for (control& control : controls_) {
      control.table->Finish(late.request_id, late.owner, outcome::kNotRun, 503,
                            0);
    }
    return;
  }
  if (runs_.empty()) return;
  const auto run =
      std::next(runs_.begin(), static_cast<long>(choices_.Below(runs_.size())));
  const bool not_run = choices_.Chance(80);
  for (control& control : controls_) {
    if (choices_.Chance(30)) continue;  // Lost, or this one is paused.
    control.table->Finish(run->first, run->second,
                          not_run ? outcome::kNotRun : outcome::kAnswered,
                          not_run ? 503 : 200, 0);
  }
  if (!not_run) return;
  claim finished;
  finished.request_id = run->first;
  finished.owner = run->second;
  not_run_.push_back(finished);
  runs_.erase(run);
}

std::string claim_world::Step() {
  control& control = controls_[choices_.Below(controls_.size())];
  switch (choices_.Below(18)) {
    case 0:
      if (choices_.Chance(15)) Crash(control);
      break;
    case 1:
      ChangeRoster(control);
      break;
    case 2:
    case 3:
    case 4:
      HandOver(control);
      break;
    case 5:
    case 6:
    case 7:
      control.table->ObserveRoster(Read(), 0);
      break;
    case 8:
      Finish();
      break;
    case 9:
    case 10:
      return Claim();
    case 11:
    case 12:
    case 13:
      DeliverReplication();
      break;
    case 14:
    case 15:
      return EndReplication();
    default:
      if (controls_[0].table->Roster().unsettled.empty()) ChangeRoster(control);
  }
  return {};
}

}  // namespace radishwing::test

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>
#include <map>
#include <sstream>

#include "src/base/clock.h"
#include "src/requests/claim_table.h"
#include "src/requests/roster_transitions.h"
#include "tests/session/golden.h"

namespace radishwing::test {
namespace {

using namespace requests;

constexpr const char* kNames[] = {"fresh", "running", "finished", "conflict",
                                  "unavailable"};

/// Four controls in two data centres that exchange claims without loss.
struct claim_session {
  manual_clock time;
  roster_record roster;
  std::map<std::string, claim_table> tables;
  std::ostringstream out;

  claim_session() {
    for (const char* name : {"a", "b", "c", "d"}) {
      const std::string id = std::string(name) + "#1";
      tables.emplace(id, claim_table(id, claim_table_options()));
      const std::string centre = *name < 'c' ? "ams" : "grq";
      Change("add " + id, AddMember(roster, id, centre, "add"));
    }
  }

  void Change(const std::string& what, const result<roster_record>& next) {
    out << time.Now() << " ms: " << what << ": ";
    if (!Ok(next)) {
      out << Error(next).message << '\n';
      return;
    }
    roster = Value(next);
    Spread();
    // Settle replaces the roster.
    const std::vector<roster_member> members = roster.members;
    for (const roster_member& member : members) Settle(member.id);
    out << "epoch=" << roster.epoch << " former=" << roster.former.size()
        << " unsettled=" << roster.unsettled.size() << '\n';
  }

  void Spread() {
    for (auto& [id, table] : tables) table.ObserveRoster(roster, time.Now());
  }

  void Settle(const std::string& id) {
    const auto table = tables.find(id);
    if (table == tables.end()) return;
    for (const std::string& target : table->second.HandOverTargets()) {
      const auto other = tables.find(target);
      if (other == tables.end()) continue;
      const auto claims = table->second.HandOverTo(target);
      out << "[" << id << " hands " << claims.size() << " to " << target
          << "] ";
      if (other->second.AcceptHandOver(roster.epoch, claims, time.Now())) {
        table->second.HandOverAccepted(target, roster.epoch);
      }
    }
    if (!table->second.ReadyToAcknowledge()) return;
    roster = Value(AcknowledgeHandOver(roster, id, roster.epoch, "ack"));
    Spread();
  }

  void Claim(const std::string& owner, const std::string& digest) {
    const claim request{"order-7", "uva", digest, owner};
    const std::string primary = tables.begin()->second.PrimaryOf("order-7");
    claim_answer answer;
    if (const auto table = tables.find(primary); table != tables.end()) {
      const claim_step step =
          table->second.BeginClaim(request, roster.epoch, time.Now());
      answer = step.answer;
      if (!step.replicate_to.empty()) {
        std::optional<claim_answer> second;
        const auto other = tables.find(step.replicate_to);
        if (other != tables.end()) {
          second =
              other->second.Replicate(request, step.roster_epoch, time.Now());
        }
        answer = table->second.EndClaim(request, second, time.Now());
      }
    }
    out << time.Now() << " ms: claim by " << owner << " at " << primary << ": "
        << kNames[static_cast<int>(answer.state)];
    if (answer.status > 0) out << " status=" << answer.status;
    out << '\n';
  }

  void Finish(const std::string& owner, outcome how, std::uint16_t status) {
    for (auto& [id, table] : tables) {
      table.Finish("order-7", owner, how, status, time.Now());
    }
    out << time.Now() << " ms: " << owner << " finished status=" << status
        << '\n';
  }

  void Kill(const std::string& id) {
    tables.erase(id);
    out << time.Now() << " ms: " << id << " is killed\n";
  }
};

// Guards against a claim that is forgotten by a roster change, granted after
// both copies were lost, or refused for ever.
BOOST_FIXTURE_TEST_CASE(claim_session_survives_one_loss_and_reports_two,
                        claim_session) {
  Claim("x/1", "d1");
  Claim("y/1", "d1");
  Claim("y/2", "d2");
  Finish("x/1", outcome::kNotRun, 503);
  Claim("y/3", "d1");
  Finish("y/3", outcome::kAnswered, 200);
  const claim_copies copies = ChooseCopies(roster.members, "order-7");
  const std::string primary = copies.primary->id;
  Kill(primary);
  Change("remove " + primary, RemoveMember(roster, primary, "remove"));
  Claim("x/2", "d1");
  const claim_copies next = ChooseCopies(roster.members, "order-7");
  const std::string first = next.primary->id;
  const std::string second = next.second->id;
  Kill(first);
  Kill(second);
  Change("remove " + first, RemoveMember(roster, first, "remove"));
  Change("remove " + second, RemoveMember(roster, second, "remove"));
  Claim("x/3", "d1");
  time.Advance(660'000);
  const auto epoch = tables.begin()->second.ForgettableFormer(time.Now());
  BOOST_REQUIRE(epoch.has_value());
  Change("forget a former roster", ForgetFormer(roster, *epoch, "forget"));
  Claim("x/4", "d1");
  BOOST_TEST(CompareGolden("claim_session", out.str()) == "");
}

}  // namespace
}  // namespace radishwing::test

#include "src/sched/relay_choice.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace radishwing::sched {
namespace {

struct relay_choice_fixture {
  /// Relays a call through at most two peers, of which only `live` reaches the
  /// store. Returns true if it was relayed.
  bool Relay(const std::string& live) {
    for (const std::string& peer : subject.Choose(peers, 2)) {
      if (peer == live) {
        subject.NoteRelayed(peer);
        return true;
      }
      subject.NoteFailed(peer);
    }
    return false;
  }

  const std::vector<std::string> peers{"a", "b", "c", "d", "e"};
  relay_choice subject;
};

BOOST_FIXTURE_TEST_SUITE(relay_choice_rules, relay_choice_fixture)

// Guards against a leader whose resignation is not stored for seconds, because
// its calls go in turn to peers that are cut off with it.
BOOST_AUTO_TEST_CASE(calls_stay_with_the_peer_that_relayed_the_last_one) {
  int calls = 1;
  while (!Relay("e")) ++calls;
  BOOST_TEST(calls <= 3);
  for (int i = 0; i < 10; ++i) BOOST_TEST(Relay("e"));
}

BOOST_AUTO_TEST_CASE(another_peer_is_found_when_the_last_one_fails) {
  while (!Relay("e")) {
  }
  int calls = 1;
  while (!Relay("b")) ++calls;
  BOOST_TEST(calls <= 4);
}

BOOST_AUTO_TEST_CASE(peer_that_has_left_is_not_chosen) {
  subject.NoteRelayed("gone");
  for (const std::string& peer : subject.Choose(peers, 5)) {
    BOOST_TEST(peer != "gone");
  }
}

BOOST_AUTO_TEST_CASE(no_peers_give_no_choice) {
  BOOST_TEST(subject.Choose({}, 2).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

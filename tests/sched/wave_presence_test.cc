#include "src/sched/wave_presence.h"

#include <boost/test/unit_test.hpp>

namespace radishwing::sched {
namespace {

BOOST_AUTO_TEST_SUITE(wave_presence)

// Guards against taking a host for gone because of a list that is older than
// the question.
BOOST_AUTO_TEST_CASE(list_from_before_the_wave_proves_no_absence) {
  for (const bool seen : {false, true}) {
    BOOST_TEST(
        (PresenceOf({false, seen}, 1000, 1000, 0) == host_presence::kAwaited));
  }
}

BOOST_AUTO_TEST_CASE(listed_host_is_listed_whatever_the_age_of_the_list) {
  BOOST_TEST((PresenceOf({true, true}, 0, 1000, 0) == host_presence::kListed));
}

BOOST_AUTO_TEST_CASE(host_is_gone_once_a_later_list_has_not_a_listed_one) {
  BOOST_TEST(
      (PresenceOf({false, true}, 1001, 1000, 5000) == host_presence::kGone));
}

BOOST_AUTO_TEST_CASE(host_without_sighting_is_awaited_for_the_time_limit) {
  BOOST_TEST((PresenceOf({false, false}, 6000, 1000, 5000) ==
              host_presence::kAwaited));
  BOOST_TEST((PresenceOf({false, false}, 6001, 1000, 5000) ==
              host_presence::kNeverListed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::sched

#include "src/base/bounded_ring.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

namespace radishwing {
namespace {

struct ring_fixture {
  int wakes = 0;
  bounded_ring<int> ring{2, [this] { ++wakes; }};
};

// Guards against a full ring overwriting items that were already accepted.
BOOST_FIXTURE_TEST_CASE(bounded_ring_full_refuses_and_keeps_items,
                        ring_fixture) {
  BOOST_TEST(ring.TryPush(1));
  BOOST_TEST(ring.TryPush(2));
  BOOST_TEST(!ring.TryPush(3));
  BOOST_TEST(*ring.TryPop() == 1);
  BOOST_TEST(*ring.TryPop() == 2);
  BOOST_TEST(!ring.TryPop().has_value());
}

// Guards against a consumer that is never woken, or is woken for each item.
BOOST_FIXTURE_TEST_CASE(bounded_ring_push_into_empty_wakes_once, ring_fixture) {
  ring.TryPush(1);
  ring.TryPush(2);
  BOOST_TEST(wakes == 1);
}

BOOST_FIXTURE_TEST_CASE(bounded_ring_drop_oldest_keeps_newest, ring_fixture) {
  for (int i = 1; i <= 3; ++i) ring.PushDropOldest(int{i});
  BOOST_TEST(*ring.TryPop() == 2);
  BOOST_TEST(*ring.TryPop() == 3);
}

}  // namespace
}  // namespace radishwing

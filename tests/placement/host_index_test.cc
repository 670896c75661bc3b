#include "src/placement/host_index.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

namespace radishwing::placement {
namespace {

struct index_fixture {
  host_index index;

  index_fixture() {
    index.Update({"big", "rack-a", {32, 1000, 0}, true});
    index.Update({"wide", "rack-b", {8, 9000, 2}, true});
  }

  std::string Place(const work_need& need) {
    const auto host = index.Place(need);
    return Ok(host) ? Value(host) : Error(host).message;
  }
};

// Guards against work that waits for ever although no host can ever run it.
BOOST_FIXTURE_TEST_CASE(host_index_impossible_work_names_what_is_missing,
                        index_fixture) {
  BOOST_TEST(Place({{64, 100, 4}, {}, 0}) ==
             "can never run: needs 64 cores (largest host: 32), 4 accelerators "
             "(largest host: 2)");
  BOOST_TEST(Place({{32, 9000, 0}, {}, 0}) ==
             "can never run: needs all of it on one host");
}

// Guards against a host that is filled beyond its capacity or stays full.
BOOST_FIXTURE_TEST_CASE(host_index_full_refuses_until_released, index_fixture) {
  const work_need need{{20, 500, 0}, {}, 0};
  BOOST_TEST(Place(need) == "big");
  BOOST_TEST(Place(need) == "no host has room now");
  index.Release("big", need.amount);
  BOOST_TEST(Place(need) == "big");
}

// Guards against parts of one service that share a rack while others are free,
// and against work that is placed on a draining host.
BOOST_FIXTURE_TEST_CASE(host_index_spreads_over_domains_and_skips_drains,
                        index_fixture) {
  const resources small{1, 10, 0};
  BOOST_TEST(Place({small, {"rack-a"}, 0}) == "wide");
  BOOST_TEST(Place({small, {"rack-a", "rack-b"}, 0}) == "big");
  index.Update({"big", "rack-a", {32, 1000, 0}, false});
  BOOST_TEST(Place({small, {}, 0}) == "wide");
}

}  // namespace
}  // namespace radishwing::placement

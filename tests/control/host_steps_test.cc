#define BOOST_TEST_DYN_LINK
#include <kj/async-io.h>

#include <boost/test/unit_test.hpp>

#include "src/control/host_steps.h"
#include "src/maintenance/host_transitions.h"
#include "src/platform/change_id.h"
#include "tests/control/scrambled_store.h"

namespace radishwing::control {
namespace {

using maintenance::host_record;
using maintenance::host_state;

constexpr std::uint32_t kFloor = 2;
const std::vector<std::string> kHosts = {"a", "b", "c", "d"};

/// Two holders of the duty that know nothing of each other, each with a copy of
/// the records that may be old. Each takes one step at a time, as if paused
/// anywhere in it.
struct two_holders : private kj::TaskSet::ErrorHandler {
  struct holder {
    explicit holder(two_holders& world)
        : port(world.io.provider->getTimer(), clock::Monotonic(), world.timing,
               world.store.Seam(), [](auto task) { task(); }),
          steps(port, "dc") {}
    store_port port;
    host_steps steps;
    bool busy = false;
    std::map<std::string, host_record> known;
  };

  explicit two_holders(unsigned seed)
      : io(kj::setupAsyncIo()),
        store(seed),
        one(*this),
        two(*this),
        tasks(*this) {
    for (holder* h : {&one, &two}) {
      h->steps.seen_host = [h](const stored_value& item) {
        auto record = maintenance::ParseHostRecord(item.value);
        if (Ok(record)) h->known[Value(record).host] = Value(record);
      };
    }
  }

  void taskFailed(kj::Exception&&) override { BOOST_ERROR("task failed"); }

  /// What a duty does with a host, by the copy of its record.
  kj::Promise<result<done>> Act(holder& h, const std::string& host) {
    auto known = h.known.find(host);
    if (known == h.known.end()) {
      host_record first;
      first.host = host;
      first.data_centre = "dc";
      first.rack = "r";
      first.pool = "p";
      first.change_id = platform::NewChangeId();
      return h.steps.Create(first);
    }
    const host_record record = known->second;
    const unsigned dice = store.Random(8);
    if (dice == 0) return h.steps.Sync("p", kFloor);
    if (dice == 1) return h.steps.Sync("q", 0);
    if (dice == 2 && record.state != host_state::kFailed) {
      return h.steps.Fail(record);
    }
    switch (record.state) {
      case host_state::kActive:
        if (dice < 5) return h.steps.Activate(record, host_steps::Touch);
        return h.steps.Drain(record, "operator", record.pool == "p" ? "q" : "");
      case host_state::kDraining:
        return h.steps.Write(record, [](const host_record& held) {
          return MarkEmpty(held, platform::NewChangeId());
        });
      case host_state::kEmpty:
      case host_state::kMaintenance:
      case host_state::kFailed:
        break;
    }
    return h.steps.Activate(record, [](const host_record& held) {
      return ReturnHost(held, "", platform::NewChangeId());
    });
  }

  void Start(holder& h) {
    if (h.busy) return;
    h.busy = true;
    tasks.add(Act(h, kHosts[store.Random(kHosts.size())])
                  .then([this, &h](result<done> outcome) {
                    h.busy = false;
                    if (Ok(outcome)) ++completed;
                  }));
  }

  /// Every host that a ledger counts as available is active in that pool, and
  /// planned stops leave the floor.
  void Check() {
    std::map<std::string, host_record> records;
    std::vector<maintenance::ledger_record> ledgers;
    for (const auto& [key, value] : store.Values()) {
      if (auto r = maintenance::ParseHostRecord(value.value);
          key.starts_with("host/") && Ok(r)) {
        records[Value(r).host] = Value(r);
      }
      if (auto l = maintenance::ParseLedgerRecord(value.value);
          key.starts_with("ledger/") && Ok(l)) {
        ledgers.push_back(Value(l));
      }
    }
    for (const auto& ledger : ledgers) {
      for (const auto& [host, rack] : ledger.hosts) {
        if (ledger.unavailable.contains(host)) continue;
        const host_record& record = records[host];
        BOOST_REQUIRE_MESSAGE(
            record.state == host_state::kActive && record.pool == ledger.pool,
            host << " counts as available in " << ledger.pool);
      }
      const std::uint32_t stops = ledger.PlannedStops();
      std::uint32_t& before = stops_before[ledger.pool];
      if (stops > 0) ++stops_seen;
      BOOST_REQUIRE_MESSAGE(
          stops <= before || ledger.Margin() >= 0,
          "a planned stop broke the floor of " << ledger.pool);
      before = stops;
    }
  }

  kj::AsyncIoContext io;
  control_timing timing = [] {
    control_timing t;
    t.store_deadline_ms = t.put_deadline_ms = 600000;
    return t;
  }();
  scrambled_store store;
  holder one;
  holder two;
  int completed = 0;
  int stops_seen = 0;
  std::map<std::string, std::uint32_t> stops_before;  // By pool.
  kj::TaskSet tasks;
};

BOOST_AUTO_TEST_SUITE(host_steps_interleaved)

// Guards against a holder of the duty that was paused, or whose answer was
// lost, making a ledger count a stopped host as available: the next drain would
// then break the floor.
BOOST_AUTO_TEST_CASE(two_holders_never_count_a_stopped_host_as_available) {
  int completed = 0;
  int stops_seen = 0;
  for (unsigned seed = 1; seed <= 30; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      two_holders world(seed);
      for (int step = 0; step < 3000; ++step) {
        if (world.store.Random(4) == 0) {
          world.Start(world.store.Random(2) ? world.one : world.two);
        } else {
          world.store.Step();
        }
        world.io.waitScope.poll();
        world.Check();
      }
      completed += world.completed;
      stops_seen += world.stops_seen;
    }
  }
  BOOST_TEST(completed > 1000);
  BOOST_TEST(stops_seen > 1000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::control

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>
#include <sstream>

#include "src/base/clock.h"
#include "src/maintenance/host_transitions.h"
#include "src/maintenance/ledger_transitions.h"
#include "src/maintenance/wave_planner.h"
#include "tests/session/golden.h"

namespace radishwing::test {
namespace {

using namespace maintenance;

constexpr const char* kNames[] = {"maintain", "lend", "give back"};

/// A wave over three small pools; every step takes one tick of 10 minutes.
struct wave_session {
  manual_clock time;
  wave_view view;
  std::vector<wave_action> running;
  std::ostringstream out;

  wave_session() {
    view.wave = "kernel";
    AddPool("batch", 6, 2);
    AddPool("web", 4, 4);
    AddPool("spare", 2, 0);
    view.pools.back().spare = true;
  }

  void AddPool(const std::string& name, int hosts, std::uint32_t floor) {
    wave_pool pool;
    pool.ledger.pool = name;
    pool.ledger.floor = floor;
    for (int i = 0; i < hosts; ++i) {
      wave_host host;
      host.record.host = name + "-" + std::to_string(i);
      host.record.rack = name + "-rack" + std::to_string(i / 2);
      host.record.pool = name;
      pool.ledger.hosts[host.record.host] = host.record.rack;
      pool.hosts.push_back(host);
    }
    view.pools.push_back(pool);
  }

  wave_pool& Pool(const std::string& name) {
    for (wave_pool& pool : view.pools) {
      if (pool.ledger.pool == name) return pool;
    }
    return view.pools.front();
  }

  wave_host& Host(const std::string& name) {
    for (wave_pool& pool : view.pools) {
      for (wave_host& host : pool.hosts) {
        if (host.record.host == name) return host;
      }
    }
    return view.pools.front().hosts.front();
  }

  void Start(const wave_action& action) {
    ledger_record& ledger = Pool(action.pool).ledger;
    const auto granted = GrantDrain(ledger, action.host, "wave:kernel", "g");
    if (!Ok(granted)) {
      out << "    refused: " << Error(granted).message << '\n';
      return;
    }
    ledger = Value(granted);
    const std::string_view reason =
        action.step == wave_step::kLend ? kLendReason : "wave:kernel";
    host_record& host = Host(action.host).record;
    host = Value(BeginDrain(host, reason, action.next_pool, "d"));
    running.push_back(action);
  }

  void FinishRunning() {
    for (const wave_action& action : running) {
      wave_host host = Host(action.host);
      host.record = Value(MarkEmpty(host.record, "e"));
      host.record =
          Value(ReturnHost(host.record, action.maintain ? "kernel" : "", "r"));
      wave_pool& pool = Pool(action.pool);
      pool.ledger = Value(ReleaseHost(pool.ledger, action.host, "r"));
      if (action.next_pool.empty()) {
        Host(action.host) = host;
        continue;
      }
      pool.ledger.hosts.erase(action.host);
      std::erase_if(pool.hosts, [&action](const wave_host& h) {
        return h.record.host == action.host;
      });
      wave_pool& next = Pool(action.next_pool);
      next.ledger.hosts[action.host] = host.record.rack;
      next.hosts.push_back(host);
    }
    running.clear();
  }

  /// Plans, starts the steps and lets them end. True when the wave is done.
  bool Tick() {
    const wave_plan plan = PlanWave(view);
    out << time.Now() / 60'000 << " min: done=" << plan.done
        << " remaining=" << plan.remaining << '\n';
    for (const wave_hold& hold : plan.holds) {
      out << "  hold " << (hold.pool.empty() ? "wave" : hold.pool) << ": "
          << hold.reason << '\n';
    }
    for (const wave_action& action : plan.actions) {
      out << "  " << kNames[static_cast<int>(action.step)] << ' '
          << action.host;
      if (!action.next_pool.empty()) out << " to " << action.next_pool;
      out << '\n';
      Start(action);
    }
    FinishRunning();
    time.Advance(600'000);
    return plan.remaining == 0 && plan.actions.empty();
  }
};

// Guards against a wave that skips its first host, leaves a rack, breaks a
// floor, keeps lent hosts or does not resume after unhealthy returns.
BOOST_FIXTURE_TEST_CASE(wave_session_pauses_resumes_and_returns_spare_hosts,
                        wave_session) {
  Tick();
  Tick();
  for (wave_pool& pool : view.pools) {
    for (wave_host& host : pool.hosts) {
      if (host.record.maintained_by == "kernel") host.healthy = false;
    }
  }
  out << "every maintained host turns unhealthy\n";
  Tick();
  for (wave_pool& pool : view.pools) {
    for (wave_host& host : pool.hosts) host.healthy = true;
  }
  out << "they are healthy again\n";
  bool done = false;
  for (int i = 0; i < 30 && !done; ++i) done = Tick();
  BOOST_TEST(done);
  BOOST_TEST(Pool("spare").hosts.size() == 2u);
  BOOST_TEST(CompareGolden("wave_session", out.str()) == "");
}

}  // namespace
}  // namespace radishwing::test

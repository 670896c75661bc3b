#include "src/routing/runner_group.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>
#include <map>

#include "src/routing/retry_budget.h"
#include "src/routing/slot_sharing.h"

namespace radishwing::routing {
namespace {

struct group_fixture {
  runner_info& Add(std::string data_centre = "dc-1") {
    runner_info info;
    info.id = "r" + std::to_string(infos.size());
    info.address = "127.0.0.1:" + std::to_string(1000 + infos.size());
    info.data_centre = std::move(data_centre);
    infos.push_back(info);
    return infos.back();
  }
  void Apply() { group.Apply(infos, next_index); }
  void Fail(runner_state& runner, millis now, attempt_result how) {
    bool probe = group.Started(runner);
    group.Finished(runner, probe, how, now);
  }

  std::vector<runner_info> infos;
  runner_group group{"dc-1", 7};
  std::uint32_t next_index = 0;
};

// Guards against ejecting so many runners that the rest is overloaded.
BOOST_FIXTURE_TEST_CASE(runner_group_ejects_at_most_half, group_fixture) {
  for (int i = 0; i < 4; ++i) Add();
  Apply();
  for (const auto& runner : group.Runners()) {
    Fail(*runner, 0, attempt_result::kRefused);
  }
  int out = 0;
  for (const auto& runner : group.Runners()) {
    out += runner->failures.Out() ? 1 : 0;
  }
  BOOST_TEST(out == 2);
  // The others pause after a refusal, far shorter than an ejection.
  BOOST_TEST(group.Pick(49, true, {}) == nullptr);
  BOOST_TEST(group.Pick(50, true, {}) != nullptr);
}

// Guards against a storm of probes, and against a probe that is not needed.
BOOST_FIXTURE_TEST_CASE(runner_group_one_probe_after_doubling_periods,
                        group_fixture) {
  Add();
  Add();
  Apply();
  runner_state& bad = *group.Runners()[0];
  Fail(bad, 0, attempt_result::kRefused);
  BOOST_TEST(!bad.failures.Admits(999, true));
  BOOST_TEST(bad.failures.Admits(1000, true));
  BOOST_TEST(!bad.failures.Admits(1000, false));
  bool probe = group.Started(bad);
  BOOST_TEST(probe);
  BOOST_TEST(!bad.failures.Admits(1000, true));
  group.Finished(bad, probe, attempt_result::kFailed, 1000);
  BOOST_TEST(!bad.failures.Admits(2999, true));
  BOOST_TEST(bad.failures.Admits(3000, true));
  group.Finished(bad, group.Started(bad), attempt_result::kSuccess, 3000);
  BOOST_TEST(bad.failures.Admits(3000, false));
}

// Guards against traffic between data centres without need, and against
// overload at home while another data centre is idle.
BOOST_FIXTURE_TEST_CASE(runner_group_prefers_own_data_centre, group_fixture) {
  Add("dc-1");
  Add("dc-2");
  Apply();
  std::map<std::string, int> picked;
  std::vector<runner_state*> started;
  for (int i = 0; i < 9; ++i) {
    runner_state* runner = group.Pick(0, true, {});
    ++picked[runner->info.data_centre];
    group.Started(*runner);
  }
  BOOST_TEST(picked["dc-1"] == 6);
  BOOST_TEST(picked["dc-2"] == 3);
}

// Guards against new work for hosts that drain and runners that are gone.
BOOST_FIXTURE_TEST_CASE(runner_group_gone_runner_gets_nothing, group_fixture) {
  Add();
  Add();
  Apply();
  runner_state* busy = group.Pick(0, true, {});
  group.Started(*busy);
  for (auto& info : infos) info.accepts_work = info.id != busy->info.id;
  Apply();
  for (int i = 0; i < 8; ++i) {
    runner_state* other = group.Pick(0, true, {});
    BOOST_REQUIRE(other != nullptr);
    BOOST_TEST(other != busy);
    group.Started(*other);
  }
  BOOST_TEST(group.Pick(0, true, {}) == nullptr);
  infos.clear();
  Apply();
  BOOST_TEST(group.RemoveGone().empty());
  group.Finished(*busy, false, attempt_result::kSuccess, 0);
  BOOST_TEST(group.RemoveGone().size() == 1u);
}

// Guards against attempts on a full runner beyond what it was seen to take,
// and against a runner that stays limited.
BOOST_FIXTURE_TEST_CASE(runner_group_rejection_limits_for_a_moment,
                        group_fixture) {
  Add();
  Apply();
  runner_state& runner = *group.Runners()[0];
  group.Started(runner);
  group.Started(runner);
  group.Finished(runner, false, attempt_result::kFull, 100);
  BOOST_TEST(group.Pick(101, true, {}) == nullptr);
  group.Finished(runner, false, attempt_result::kSuccess, 101);
  BOOST_TEST(group.Pick(101, true, {}) == &runner);
  group.Started(runner);
  BOOST_TEST(group.Pick(101, true, {}) == nullptr);
  BOOST_TEST(group.Pick(102, true, {}) == &runner);
}

// Guards against retries that multiply the load.
BOOST_AUTO_TEST_CASE(retry_budget_is_a_part_of_the_successes) {
  retry_budget budget;
  int retries = 0;
  while (budget.TryRetry()) ++retries;
  BOOST_TEST(retries == 10);
  for (int i = 0; i < 100; ++i) budget.Success();
  while (budget.TryRetry()) ++retries;
  BOOST_TEST(retries >= 19);
  BOOST_TEST(retries <= 20);
}

// Guards against a comparison in which a policy gets more than its rule.
BOOST_AUTO_TEST_CASE(slot_sharing_policies_keep_their_rules) {
  slot_sharing parts(slot_policy::kPartitioned, 8, 3);
  for (int i = 0; i < 3; ++i) BOOST_TEST(parts.Arrive(0));
  BOOST_TEST((parts.MaySend(0) == slot_decision::kWait));
  BOOST_TEST((parts.MaySend(2) == slot_decision::kSend));

  slot_sharing granted(slot_policy::kGranted, 1, 2);
  BOOST_TEST((granted.MaySend(0) == slot_decision::kAsk));
  BOOST_TEST(granted.Grant(0));
  BOOST_TEST(!granted.Grant(1));
  BOOST_TEST(granted.Arrive(0));
  granted.Release(0);
  BOOST_TEST(granted.Grant(1));

  slot_sharing optimistic(slot_policy::kOptimistic, 1, 2);
  BOOST_TEST(optimistic.Arrive(0));
  BOOST_TEST((optimistic.MaySend(1) == slot_decision::kSend));
  BOOST_TEST(!optimistic.Arrive(1));
  BOOST_TEST(optimistic.Rejected() == 1u);
}

}  // namespace
}  // namespace radishwing::routing

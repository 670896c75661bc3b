#include "src/fairness/fair_queue.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace radishwing::fairness {
namespace {

struct queue_fixture {
  ticket Push(std::uint32_t team, work_class cls = work_class::kInteractive,
              std::string_view user = {}, millis expected = 10) {
    queue_item item;
    item.id = ++next;
    item.team = team;
    item.cls = cls;
    item.user = user;
    item.expected_ms = expected;
    owner[item.id] =
        std::string(1, static_cast<char>('0' + team)) + std::string(user);
    return queue.Push(item);
  }
  std::optional<popped_item> Pop() {
    return queue.Pop(0, [this](std::uint32_t team) { return team != blocked; });
  }

  fair_queue queue;
  std::uint64_t next = 0;
  std::uint32_t blocked = ~0u;
  std::map<std::uint64_t, std::string> owner;
};

// Guards against slot time that does not follow the weights, although one
// team's runs take ten times as long as it says.
BOOST_FIXTURE_TEST_CASE(fair_queue_slot_time_follows_weights, queue_fixture) {
  queue.SetWeight(1, 3);
  queue.SetWeight(2, 1);
  std::map<char, double> used;
  for (int i = 0; i < 4000; ++i) {
    Push(1);
    Push(2);
  }
  for (int i = 0; i < 3000; ++i) {
    auto item = Pop();
    char team = owner[item->id][0];
    millis took = team == '2' ? 100 : 10;
    used[team] += static_cast<double>(took);
    queue.Finish(item->number, took);
  }
  BOOST_TEST(used['1'] / used['2'] > 2.9);
  BOOST_TEST(used['1'] / used['2'] < 3.1);
}

// Guards against a team that declares ten times its run time and is kept from
// using its share by charges that are corrected later.
BOOST_FIXTURE_TEST_CASE(fair_queue_too_long_declared_times_cost_no_share,
                        queue_fixture) {
  for (int i = 0; i < 100; ++i) {
    Push(1, work_class::kInteractive, {}, 100);
    Push(2);
  }
  int of_1 = 0;
  for (int round = 0; round < 10; ++round) {
    std::vector<popped_item> running;
    for (int slot = 0; slot < 4; ++slot) running.push_back(*Pop());
    for (const popped_item& item : running) {
      of_1 += owner[item.id][0] == '1' ? 1 : 0;
      queue.Finish(item.number, 10);
    }
  }
  BOOST_TEST(of_1 >= 18);
  BOOST_TEST(of_1 <= 22);
}

// Guards against a user with many requests who crowds out the others of the
// same team.
BOOST_FIXTURE_TEST_CASE(fair_queue_users_of_a_team_take_turns, queue_fixture) {
  for (int i = 0; i < 100; ++i) Push(1, work_class::kInteractive, "a");
  for (int i = 0; i < 10; ++i) Push(1, work_class::kInteractive, "b");
  int of_b = 0;
  for (int i = 0; i < 20; ++i) {
    auto item = Pop();
    of_b += owner[item->id] == "1b" ? 1 : 0;
    queue.Finish(item->number, 10);
  }
  BOOST_TEST(of_b == 10);
}

// Guards against idle slots while a team at its limit is first in line, and
// against credit that it collects meanwhile.
BOOST_FIXTURE_TEST_CASE(fair_queue_team_at_limit_is_skipped_without_credit,
                        queue_fixture) {
  for (int i = 0; i < 100; ++i) {
    Push(1);
    Push(2);
  }
  blocked = 1;
  for (int i = 0; i < 50; ++i) {
    auto item = Pop();
    BOOST_TEST(owner[item->id][0] == '2');
    queue.Finish(item->number, 10);
  }
  blocked = ~0u;
  int of_1 = 0;
  for (int i = 0; i < 20; ++i) {
    auto item = Pop();
    of_1 += owner[item->id][0] == '1' ? 1 : 0;
    queue.Finish(item->number, 10);
  }
  BOOST_TEST(of_1 <= 11);
}

// Guards against classes that starve, and against urgent work that waits.
BOOST_FIXTURE_TEST_CASE(fair_queue_classes_have_floors, queue_fixture) {
  std::map<work_class, int> served;
  std::map<std::uint64_t, work_class> classes;
  for (int i = 0; i < 1000; ++i) {
    for (auto cls :
         {work_class::kLong, work_class::kInteractive, work_class::kUrgent}) {
      Push(1, cls);
      classes[next] = cls;
    }
  }
  for (int i = 0; i < 1000; ++i) {
    auto item = Pop();
    if (i == 0) BOOST_TEST((classes[item->id] == work_class::kUrgent));
    ++served[classes[item->id]];
    queue.Finish(item->number, 10);
  }
  BOOST_TEST(served[work_class::kUrgent] >= 650);
  BOOST_TEST(served[work_class::kInteractive] >= 150);
  BOOST_TEST(served[work_class::kLong] >= 70);
}

// Guards against items lost or served twice after cancellations and requeues.
BOOST_FIXTURE_TEST_CASE(fair_queue_storm_of_cancellations_keeps_the_rest,
                        queue_fixture) {
  std::vector<ticket> tickets;
  for (int i = 0; i < 100000; ++i) {
    tickets.push_back(Push(static_cast<std::uint32_t>(i % 7 + 1),
                           work_class::kInteractive, std::to_string(i % 100)));
  }
  for (std::size_t i = 0; i < tickets.size(); ++i) {
    if (i % 100 != 0) queue.Cancel(tickets[i]);
  }
  BOOST_TEST(queue.Waiting() == 1000u);
  auto first = Pop();
  queue.Requeue(first->number);
  std::map<std::uint64_t, int> seen;
  while (auto item = Pop()) {
    ++seen[item->id];
    queue.Finish(item->number, 1);
  }
  BOOST_TEST(seen.size() == 1000u);
  BOOST_TEST(queue.Waiting() == 0u);
  queue.Sweep();
}

}  // namespace
}  // namespace radishwing::fairness

#include "src/node/job_intake.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "src/node/record_keys.h"
#include "tests/http/http_fixture.h"
#include "tools/fleet_fake/fake_store.h"

namespace radishwing::node {
namespace {

struct job_intake_fixture : http::http_fixture {
  job_intake_fixture() {
    context = std::make_unique<node_context>(io, fleet::node_settings());
    platform::store_client::hooks hooks;
    hooks.observe = [](const auto&) {};
    context->store =
        Value(platform::store_client::Make(io, store.Address(), hooks));
    subject = std::make_unique<job_intake>(
        *context, [](const std::string&, const std::string&, std::uint64_t) {});
  }

  void Submit(const std::string& id, std::string body = "{}") {
    fleet::job_record record;
    record.id = id;
    record.body = std::move(body);
    subject->Submit(std::move(record), [this, id](submission_outcome outcome) {
      outcomes[id] = outcome;
    });
  }

  fleet_fake::fake_store store{io};
  std::unique_ptr<node_context> context;
  std::unique_ptr<job_intake> subject;
  std::map<std::string, submission_outcome> outcomes;  ///< By job id.
};

BOOST_FIXTURE_TEST_SUITE(job_intake_commit, job_intake_fixture)

// Guards against jobs that cannot be stored because another one in their commit
// is too large.
BOOST_AUTO_TEST_CASE(job_larger_than_a_value_is_refused_without_the_others) {
  Submit("a");
  Submit("b", std::string(context->settings.max_value_bytes, 'x'));
  Submit("c");
  RunUntil([&] { return outcomes.size() == 3; });
  BOOST_TEST((outcomes["a"] == submission_outcome::kAccepted));
  BOOST_TEST((outcomes["b"] == submission_outcome::kTooLarge));
  BOOST_TEST((outcomes["c"] == submission_outcome::kAccepted));
  BOOST_TEST(store.Value(JobKey("b")).empty());
}

// Guards against the same for a job that only the store finds too large. The
// first three jobs take the commits that may be in flight; the others share
// one.
BOOST_AUTO_TEST_CASE(job_refused_by_the_store_does_not_fail_its_commit) {
  store.RefuseCommitsOf(JobKey("e"));
  for (const char* id : {"a", "b", "c", "d", "e", "f"}) Submit(id);
  RunUntil([&] { return outcomes.size() == 6; });
  BOOST_TEST((outcomes["e"] == submission_outcome::kTooLarge));
  for (const char* id : {"a", "b", "c", "d", "f"}) {
    BOOST_TEST((outcomes[id] == submission_outcome::kAccepted));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

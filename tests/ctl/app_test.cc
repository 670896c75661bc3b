#include "src/ctl/app.h"

#define BOOST_TEST_DYN_LINK
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "src/base/sha256.h"
#include "tests/ctl/app_fixture.h"

namespace radishwing::ctl {

std::ostream& operator<<(std::ostream& out, exit_code code) {
  return out << static_cast<int>(code);
}

namespace {

using answer = fake_control::answer;
using arguments = std::vector<std::string>;

const arguments kSetShare = {"team", "set-share", "uva", "0.25"};

struct fixture : app_fixture {
  fixture() { control.members = {{"h1", 2, 10}, {"h2", 2, 20}}; }
};

BOOST_FIXTURE_TEST_SUITE(ctl_app_tests, fixture)

BOOST_AUTO_TEST_CASE(ctl_set_share_keeps_comments_and_names_author) {
  BOOST_TEST(Run(kSetShare) == exit_code::kDone);
  const control::settings_revision& applied = control.history.back();
  BOOST_TEST(applied.author == "ben");
  std::string expected = kText;
  expected.replace(expected.find("0.5"), 3, "0.25");
  BOOST_TEST(applied.text == expected);
}

// Guards against applying a change twice, or reporting it as lost, when only
// its answer was lost.
BOOST_AUTO_TEST_CASE(ctl_apply_lost_answer_is_found_by_change_id) {
  control.next_answer = answer::kLostAfterWrite;
  BOOST_TEST(Run(kSetShare) == exit_code::kDone);
  BOOST_TEST(Shows("applied as revision 2"));
  BOOST_TEST(control.posts == 1);
}

// The same with a later change of somebody else on top of ours.
BOOST_AUTO_TEST_CASE(ctl_apply_lost_answer_is_found_in_history) {
  control.next_answer = answer::kLostAfterWrite;
  control.after_loss = [&] { control.Write("theirs", "anna", kText); };
  BOOST_TEST(Run(kSetShare) == exit_code::kDone);
  BOOST_TEST(Shows("applied as revision 2"));
  BOOST_TEST(control.posts == 1);
}

// Guards against taking a change that never arrived for an applied one.
BOOST_AUTO_TEST_CASE(ctl_apply_lost_request_ends_as_unknown_or_conflict) {
  control.next_answer = answer::kLostBeforeWrite;
  BOOST_TEST(Run(kSetShare) == exit_code::kUnknown);
  BOOST_TEST(Shows("change ours"));
  control.after_loss = [&] { control.Write("theirs", "anna", kText); };
  BOOST_TEST(Run(kSetShare) == exit_code::kConflict);
  BOOST_TEST(control.posts == 2);
}

BOOST_AUTO_TEST_CASE(ctl_apply_conflict_shows_both_sides) {
  std::string theirs = kText;
  theirs.replace(theirs.find("\"upper_limit\": 9"), 16, "\"upper_limit\": 7");
  // Their change lands between our reading and our writing.
  bool raced = false;
  transport = [&](const std::string& address, const operator_request& request,
                  const settings::secret_text& secret) {
    if (request.method == "POST" && !std::exchange(raced, true)) {
      control.Write("theirs", "anna", theirs);
    }
    return control.Transport()(address, request, secret);
  };
  BOOST_TEST(Run(kSetShare) == exit_code::kConflict);
  BOOST_TEST(Shows("revision 2 by anna"));
  BOOST_TEST(Shows("+    \"uva\": {\"share\": 0.5, \"upper_limit\": 7}"));
  BOOST_TEST(Shows("+    \"uva\": {\"share\": 0.25, \"upper_limit\": 9}"));
  BOOST_TEST(control.history.back().text == theirs);
}

// Guards against reporting success while a member still has old settings.
BOOST_AUTO_TEST_CASE(ctl_apply_names_members_that_have_not_confirmed) {
  control.members[1] = {"h2", 1, 61000};
  BOOST_TEST(Run(kSetShare) == exit_code::kUnconfirmed);
  BOOST_TEST(Shows("h2 (at revision 1, silent for 61000 ms)"));
  BOOST_TEST(!Shows("h1 ("));
  control.members.clear();
  BOOST_TEST(Run(kSetShare) == exit_code::kUnconfirmed);
}

BOOST_AUTO_TEST_CASE(ctl_dry_run_and_findings_send_nothing) {
  arguments dry = kSetShare;
  dry.push_back("--dry-run");
  BOOST_TEST(Run(dry) == exit_code::kDone);
  BOOST_TEST(Shows("+    \"uva\": {\"share\": 0.25"));
  BOOST_TEST(Run({"team", "set-share", "uva", "1.5"}) == exit_code::kFindings);
  BOOST_TEST(Shows("settings:5:22: teams.uva.share: found 1.5"));
  BOOST_TEST(Run({"wave", "pause", "none"}) == exit_code::kNotFound);
  BOOST_TEST(control.posts == 0);
}

// Guards against a key in the settings, and against a key shown twice.
BOOST_AUTO_TEST_CASE(ctl_grant_key_prints_key_once_and_stores_hash) {
  BOOST_TEST(Run({"team", "grant-key", "uva", "k1"}) == exit_code::kDone);
  const std::string text = All();
  const std::size_t at = text.find("rw_");
  BOOST_REQUIRE(at != std::string::npos);
  const std::string key = text.substr(at, text.find('\n', at) - at);
  BOOST_TEST(key.size() == 67);
  BOOST_TEST(text.find(key, at + 1) == std::string::npos);
  const std::string& stored = control.history.back().text;
  BOOST_TEST(stored.find(key) == std::string::npos);
  BOOST_TEST(stored.find("{\"id\": \"k1\", \"sha256\": \"" + Sha256Hex(key) +
                         "\"}") != std::string::npos);
  control.members = {{"h1", 3, 1}};
  BOOST_TEST(Run({"team", "withdraw-key", "uva", "k1"}) == exit_code::kDone);
  BOOST_TEST(control.history.back().text.find("sha256") == std::string::npos);
}

// Guards against a key that is lost although its hash may be in force, and
// against JSON output that is not one document.
BOOST_AUTO_TEST_CASE(ctl_grant_key_unknown_outcome_still_shows_key) {
  control.next_answer = answer::kLostBeforeWrite;
  BOOST_TEST(Run({"team", "grant-key", "uva", "k1", "--output", "json"}) ==
             exit_code::kUnknown);
  const auto shown = boost::json::parse(out.str());
  BOOST_TEST(shown.at("key").get_string().starts_with("rw_"));
  BOOST_TEST(shown.at("error").get_string() == "timeout");
}

// Guards against a file that silently reverts somebody else's change.
BOOST_AUTO_TEST_CASE(ctl_apply_without_base_only_for_first_settings) {
  const std::string file =
      std::string(RADISHWING_SOURCE_DIR) + "/resources/voetnoot.json";
  BOOST_TEST(Run({"settings", "apply", file}) == exit_code::kUsage);
  BOOST_TEST(Shows("revision 1 by anna"));
  BOOST_TEST(control.posts == 0);
  control.history.clear();
  control.members = {{"h1", 1, 10}};
  BOOST_TEST(Run({"team", "set-limit", "uva", "5"}) == exit_code::kNotFound);
  BOOST_TEST(Run({"settings", "apply", file}) == exit_code::kDone);
  BOOST_TEST(control.history.size() == 1u);
}

BOOST_AUTO_TEST_CASE(ctl_wave_order_must_fit_its_state) {
  control.members = {{"h1", 9, 1}};
  BOOST_TEST(Run({"wave", "plan", "w1", "--pool", "p"}) == exit_code::kDone);
  BOOST_TEST(Run({"wave", "pause", "w1"}) == exit_code::kUsage);
  BOOST_TEST(Shows("wave \"w1\" is planned and cannot pause"));
  BOOST_TEST(Run({"wave", "start", "w1"}) == exit_code::kDone);
  BOOST_TEST(Run({"wave", "pause", "w1"}) == exit_code::kDone);
  BOOST_TEST(control.history.back().text.find("\"state\": \"paused\"") !=
             std::string::npos);
}

// Guards against the operator secret in a message, and against control
// characters from the network on a terminal.
BOOST_AUTO_TEST_CASE(ctl_errors_contain_no_secret_and_no_escapes) {
  transport = [](const std::string&, const operator_request&,
                 const settings::secret_text&) -> result<raw_reply> {
    return raw_reply{401,
                     "{\"reason\":\"x\",\"message\":\"no \\u001b[2J\\u009b\"}"};
  };
  BOOST_TEST(Run({"status"}) == exit_code::kDenied);
  BOOST_TEST(Shows("no ?[2J?\n"));
  BOOST_TEST(Run({"status", "--output", "json"}) == exit_code::kDenied);
  BOOST_TEST(!Shows("operator-secret-of-the-test"));
  BOOST_TEST(!Shows("\x1b"));
  variables.erase("RADISHWING_OPERATOR_SECRET");
  BOOST_TEST(Run({"status"}) == exit_code::kUsage);
}

// Guards against sending a change to a second control after the first one may
// have accepted it.
BOOST_AUTO_TEST_CASE(ctl_change_goes_to_next_control_only_if_not_sent) {
  std::vector<std::string> asked;
  transport = [&](const std::string& address, const operator_request& request,
                  const settings::secret_text& secret) -> result<raw_reply> {
    if (request.method == "POST") asked.push_back(address);
    if (address == "127.0.0.1:1") {
      return failure{failure_kind::kUnavailable, "refused"};
    }
    if (address == "127.0.0.1:2" && request.method == "POST") {
      return failure{failure_kind::kTimeout, "silent"};
    }
    return control.Transport()(address, request, secret);
  };
  arguments with_controls = kSetShare;
  for (const char* address : {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}) {
    with_controls.insert(with_controls.end(), {"--control", address});
  }
  BOOST_TEST(Run(with_controls) == exit_code::kUnknown);
  BOOST_TEST(asked == arguments{"127.0.0.1:2"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::ctl

#include "src/settings/process_settings.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>
#include <map>

namespace radishwing::settings {
namespace {

struct fixture {
  std::map<std::string, std::string> variables = {
      {"RADISHWING_FLEET_SECRET", "fleet-secret-of-the-test"},
      {"RADISHWING_OPERATOR_SECRET", "operator-secret-of-the-test"}};

  environment Environment() {
    return [this](const std::string& name) -> std::optional<std::string> {
      const auto position = variables.find(name);
      if (position == variables.end()) return std::nullopt;
      return position->second;
    };
  }
  std::vector<std::string> Findings(std::string_view text, daemon_kind daemon) {
    const checked<process_settings> parsed =
        ParseProcessSettings("p.json", text, daemon, Environment());
    std::vector<std::string> lines;
    if (parsed.index() == 1) {
      for (const finding& f : std::get<1>(parsed)) {
        lines.push_back(FormatFinding(f));
      }
    }
    return lines;
  }
};

BOOST_FIXTURE_TEST_SUITE(process_settings_tests, fixture)

BOOST_AUTO_TEST_CASE(process_settings_control_file_is_read) {
  const checked<process_settings> parsed = ParseProcessSettings(
      "p.json",
      "{ // control\n\"host\": \"h1\", \"data_centre\": \"dc1\",\n"
      "\"control_address\": \"127.0.0.1:0\",\n"
      "\"operator_address\": \"[::1]:7000\", \"platform_address\": "
      "\"127.0.0.1:1\",\n\"peers\": [\"127.0.0.1:9\"], \"log_level\": "
      "\"debug\"}",
      daemon_kind::kControl, Environment());
  BOOST_REQUIRE(parsed.index() == 0);
  const process_settings& settings = std::get<0>(parsed);
  BOOST_TEST(settings.peers.size() == 1);
  BOOST_TEST(settings.balancer_delay_ms == 3000);
  BOOST_TEST((settings.minimum_level == log_level::kDebug));
  BOOST_TEST(settings.operator_secret.Reveal() ==
             "operator-secret-of-the-test");
}

// Guards against a secret in a finding, pasted into a wrong place or read
// from the environment.
BOOST_AUTO_TEST_CASE(process_settings_findings_never_contain_secrets) {
  variables["RADISHWING_FLEET_SECRET"] = "hunter2";
  const std::vector<std::string> lines = Findings(
      "{\"host\": \"h1\", \"data_centre\": \"dc1\",\n"
      "\"fleet_secret_file\": \"swordfish\",\n"
      "\"fleet_secret\": \"swordfish\",\n"
      "\"operator_secret_file\": {\"swordfish\": \"swordfish\"},\n"
      "\"control_address\": \"1.2.3.4:5\", \"operator_address\": 7}",
      daemon_kind::kControl);
  BOOST_TEST(lines.size() == 6);
  for (const std::string& line : lines) {
    BOOST_TEST_CONTEXT(line) {
      BOOST_TEST(line.find("hunter2") == std::string::npos);
      BOOST_TEST(line.find("swordfish") == std::string::npos);
    }
  }
}

// Guards against a daemon that starts with a weak or missing secret, or an
// entry that connects to port 0.
BOOST_AUTO_TEST_CASE(process_settings_weak_secret_and_bad_address_rejected) {
  variables["RADISHWING_FLEET_SECRET"] = "short \n";
  const std::vector<std::string> lines = Findings(
      "{\"host\": \"h 1\", \"data_centre\": \"dc1\",\n"
      "\"control_address\": \"127.0.0.1:0\", \"peers\": [],\n"
      "\"caller_address\": \"localhost:80\"}",
      daemon_kind::kEntry);
  const std::string expected[] = {
      "p.json:1:10: host: found \"h 1\"; allowed: 1 to 64 characters of A-Z "
      "a-z 0-9 . _ -",
      "p.json:2:35: peers: unknown name; allowed: host, data_centre, "
      "control_address, metrics_address, fleet_secret_file, log_level, "
      "balancer_delay_ms, caller_address",
      "p.json:3:19: caller_address: found \"localhost:80\"; allowed: "
      "\"ip:port\" with a numeric IP address",
      "p.json:2:20: control_address: port 0; allowed: port of the control on "
      "this host",
      "p.json:1:1: fleet_secret_file: secret of 5 bytes; allowed: 16 to 4096 "
      "bytes, from the file named by fleet_secret_file or from the "
      "environment's RADISHWING_FLEET_SECRET, not from both"};
  BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(process_settings_missing_file_is_a_finding) {
  const checked<process_settings> loaded = LoadProcessSettings(
      "/nonexistent/entry.json", daemon_kind::kEntry, Environment());
  BOOST_REQUIRE(loaded.index() == 1);
  BOOST_TEST(std::get<1>(loaded).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::settings

#include "src/settings/fleet_parser.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "tests/settings/golden_file.h"

namespace radishwing::settings {
namespace {

std::string FormatAll(const parse_result<fleet_settings>& parsed) {
  std::string lines;
  if (parsed.index() == 0) return lines;
  for (const finding& f : std::get<1>(parsed)) lines += FormatFinding(f) + "\n";
  return lines;
}

// Guards against findings that are missing or at the wrong position. Also
// guards against findings that quote an API key which a user pasted into a hash
// or ID field. The golden file was compared by hand with bad_settings.json.
BOOST_AUTO_TEST_CASE(fleet_parser_bad_file_gives_golden_findings) {
  const std::string found = FormatAll(
      ParseFleetSettings("bad_settings.json",
                         ReadSourceFile("tests/golden/bad_settings.json"), 1));
  BOOST_TEST(found == ReadSourceFile("tests/golden/bad_settings.findings"));
  BOOST_TEST(found.find("raw-api-key") == std::string::npos);
  BOOST_TEST(found.find("raw api key") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(fleet_parser_preset_and_override_fill_policy) {
  const parse_result<fleet_settings> parsed = ParseFleetSettings(
      "a.json",
      "{\"fleet\": {\"name\": \"k\", \"preset\": \"lean_buffer\"},\n"
      "\"pools\": {\"p\": {\"target_hosts\": 2, \"spare\": true}},\n"
      "\"teams\": {\"t\": {\"upper_limit\": 3, \"classes\": [\"urgent\"]}},\n"
      "\"services\": {\"s\": {\"pool\": \"p\"}},\n"
      "\"policy\": {\"weight_moves\": 9}}",
      7);
  BOOST_REQUIRE_EQUAL(FormatAll(parsed), "");
  const fleet_settings& settings = std::get<0>(parsed);
  BOOST_TEST(settings.revision == 7);
  BOOST_TEST(settings.policy.weight_moves == 9);
  BOOST_TEST(settings.policy.weight_buffer_cost == 3);
  const team_settings& team = settings.teams.at("t");
  BOOST_TEST((team.allow_urgent && !team.allow_long));
  // The schema and the struct both state the defaults, which must match.
  const service_settings& service = settings.services.at("s");
  const service_settings defaults;
  BOOST_TEST(service.runner_slots == defaults.runner_slots);
  BOOST_TEST(service.runner_connections == defaults.runner_connections);
  BOOST_TEST(service.deadline_ms == defaults.deadline_ms);
  BOOST_TEST(service.longest_run_seconds == defaults.longest_run_seconds);
  BOOST_TEST(service.max_body_bytes == defaults.max_body_bytes);
  BOOST_TEST(service.queue_limit == defaults.queue_limit);
  BOOST_TEST(service.retry_ratio == defaults.retry_ratio);
  BOOST_TEST(service.objective.good_ratio == defaults.objective.good_ratio);
  BOOST_TEST(service.objective.latency_ms == defaults.objective.latency_ms);
}

// Guards against accepting settings that the store then refuses. The store
// receives the settings text escaped as a JSON string. The escaped text can
// exceed the store's limit although the original text is within the size limit.
BOOST_AUTO_TEST_CASE(fleet_parser_text_too_large_once_stored_is_rejected) {
  const std::string text =
      "{\"fleet\": {\"name\": \"k\"}, \"pools\": {\"p\": {\"target_hosts\": 1, "
      "\"spare\": true}}}" +
      std::string(600'000, '\n');
  BOOST_TEST(FormatAll(ParseFleetSettings("a.json", text, 1))
                 .find("as a JSON string") != std::string::npos);
}

}  // namespace
}  // namespace radishwing::settings

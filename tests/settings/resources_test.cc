#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "src/settings/fleet_parser.h"
#include "src/settings/schema_page.h"
#include "tests/settings/golden_file.h"

namespace radishwing::settings {
namespace {

// The sample settings in resources/ must pass validation.
BOOST_AUTO_TEST_CASE(resources_fleet_samples_have_no_findings) {
  for (const char* name : {"voetnoot", "kintsugi"}) {
    const std::string file = "resources/" + std::string(name) + ".json";
    const parse_result<fleet_settings> parsed =
        ParseFleetSettings(file, ReadSourceFile(file), 1);
    if (parsed.index() == 1) {
      BOOST_ERROR(FormatFinding(std::get<1>(parsed).front()));
      continue;
    }
    const fleet_settings& settings = std::get<0>(parsed);
    BOOST_TEST(settings.name == name);
    BOOST_TEST(settings.services.size() == 5);
  }
}

// The reference page must match the names, ranges and defaults of the schema.
// Regenerate it with `radishwingctl settings schema`.
BOOST_AUTO_TEST_CASE(settings_page_matches_schema) {
  BOOST_TEST(RenderSchemaPage() == ReadSourceFile("docs/settings.md"));
}

}  // namespace
}  // namespace radishwing::settings

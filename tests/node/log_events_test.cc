#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace radishwing::node {
namespace {

std::string Read(const std::filesystem::path& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

const std::filesystem::path kSource = RADISHWING_SOURCE_DIR;

struct log_events_fixture {
  log_events_fixture() {
    for (const auto& entry :
         std::filesystem::directory_iterator(kSource / "src/node")) {
      if (entry.path().extension() == ".cc") code += Read(entry.path());
    }
    code += Read(kSource / "src/programs/node.cc");
    const std::string page = Read(kSource / "docs/OPERATIONS.md");
    const std::regex row(R"(\n\| `[a-z]+` \| (`[^|]*`) \|)");
    const std::regex quoted("`([^`]+)`");
    for (std::sregex_iterator at(page.begin(), page.end(), row), end; at != end;
         ++at) {
      const std::string cell = (*at)[1];
      for (std::sregex_iterator one(cell.begin(), cell.end(), quoted);
           one != end; ++one) {
        documented.insert((*one)[1]);
      }
    }
  }

  std::string code;  ///< Sources that write the node's log messages.
  std::set<std::string> documented;  ///< Messages listed in OPERATIONS.md.
};

BOOST_FIXTURE_TEST_SUITE(log_events, log_events_fixture)

// Guards against log messages that the operations page does not document.
BOOST_AUTO_TEST_CASE(every_message_in_the_code_is_documented) {
  const std::regex written(R"lit("([a-z][a-z ]*), [a-z_]+=)lit");
  int found = 0;
  for (std::sregex_iterator at(code.begin(), code.end(), written), end;
       at != end; ++at) {
    ++found;
    const std::string message = (*at)[1];
    BOOST_TEST(documented.contains(message), "not documented: " << message);
  }
  BOOST_TEST(found > 20);
}

// Guards against documentation of messages that are no longer logged.
BOOST_AUTO_TEST_CASE(every_documented_message_is_in_the_code) {
  BOOST_TEST(documented.size() > 20u);
  for (const std::string& message : documented) {
    BOOST_TEST(code.find('"' + message) != std::string::npos,
               "not in the code: " << message);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

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
    const std::regex sentence("`([^`]+)`");
    for (std::sregex_iterator at(page.begin(), page.end(), row), end; at != end;
         ++at) {
      const std::string cell = (*at)[1];
      for (std::sregex_iterator one(cell.begin(), cell.end(), sentence);
           one != end; ++one) {
        listed.insert((*one)[1]);
      }
    }
  }

  std::string code;
  std::set<std::string> listed;  ///< Sentences of the page's table.
};

BOOST_FIXTURE_TEST_SUITE(log_events, log_events_fixture)

// Guards against a line on which an engineer on call finds nothing.
BOOST_AUTO_TEST_CASE(every_sentence_of_the_code_is_on_the_page) {
  const std::regex written(R"lit("([a-z][a-z ]*), [a-z_]+=)lit");
  int found = 0;
  for (std::sregex_iterator at(code.begin(), code.end(), written), end;
       at != end; ++at) {
    ++found;
    const std::string sentence = (*at)[1];
    BOOST_TEST(listed.contains(sentence), "not on the page: " << sentence);
  }
  BOOST_TEST(found > 20);
}

// Guards against a page that describes lines that are written no more.
BOOST_AUTO_TEST_CASE(every_sentence_of_the_page_is_in_the_code) {
  BOOST_TEST(listed.size() > 20u);
  for (const std::string& sentence : listed) {
    BOOST_TEST(code.find('"' + sentence) != std::string::npos,
               "not in the code: " << sentence);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::node

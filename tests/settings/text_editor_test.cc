#include "src/settings/text_editor.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

namespace radishwing::settings {
namespace {

using path = std::vector<std::string>;

struct fixture {
  text_editor Editor(std::string_view text) {
    checked<text_editor> made = text_editor::Make("a.json", text);
    BOOST_REQUIRE(made.index() == 0);
    return std::get<0>(std::move(made));
  }
};

BOOST_FIXTURE_TEST_SUITE(text_editor_tests, fixture)

// Guards against comments that get lost or end up at another value.
BOOST_AUTO_TEST_CASE(text_editor_added_names_leave_comments_in_place) {
  text_editor editor = Editor(
      "{\n"
      "  // teams, by name: {\n"
      "  \"teams\": {\n"
      "    \"a\": {\"share\": 0.1}, // first\n"
      "    \"b\": {\"share\": 0.2} /* second,\n"
      "      still */ // end }\n"
      "    // last\n"
      "  },\n"
      "  \"waves\": {} // none\n"
      "}\n");
  BOOST_TEST(Ok(editor.Set(path{"teams", "a", "share"}, "0.3")));
  BOOST_TEST(Ok(editor.Set(path{"teams", "b", "upper_limit"}, "5")));
  BOOST_TEST(Ok(editor.Set(path{"teams", "c"}, "{}")));
  BOOST_TEST(Ok(editor.Set(path{"waves", "w"}, "{\"kind\": \"move\"}")));
  BOOST_TEST(editor.Text() ==
             "{\n"
             "  // teams, by name: {\n"
             "  \"teams\": {\n"
             "    \"a\": {\"share\": 0.3}, // first\n"
             "    \"b\": {\"share\": 0.2, \"upper_limit\": 5}, /* second,\n"
             "      still */ // end }\n"
             "    \"c\": {}\n"
             "    // last\n"
             "  },\n"
             "  \"waves\": {\"w\": {\"kind\": \"move\"}} // none\n"
             "}\n");
  BOOST_TEST(!Ok(editor.Set(path{"pools", "p", "spare"}, "true")));
}

// Guards against a removal that takes the wrong comma or a neighbour.
BOOST_AUTO_TEST_CASE(text_editor_removed_items_leave_the_rest) {
  const std::string text =
      "{\"keys\": [\n"
      "  // old, [\n"
      "  {\"id\": 1}, // one, two\n"
      "  {\"id\": 2} /* , */ ,\n"
      "  {\"id\": 3}\n"
      "]}\n";
  text_editor first = Editor(text);
  BOOST_TEST(Ok(first.Remove(path{"keys"}, 0)));
  BOOST_TEST(first.Text() ==
             "{\"keys\": [\n"
             "  // old, [\n"
             "  // one, two\n"
             "  {\"id\": 2} /* , */ ,\n"
             "  {\"id\": 3}\n"
             "]}\n");
  text_editor last = Editor(text);
  BOOST_TEST(Ok(last.Remove(path{"keys"}, 2)));
  BOOST_TEST(last.Text() ==
             "{\"keys\": [\n"
             "  // old, [\n"
             "  {\"id\": 1}, // one, two\n"
             "  {\"id\": 2} /* , */ \n"
             "]}\n");
  text_editor line = Editor("{\"keys\": [1, 2, 3]}");
  BOOST_TEST(Ok(line.Remove(path{"keys"}, 1)));
  BOOST_TEST(line.Text() == "{\"keys\": [1, 3]}");
  BOOST_TEST(Ok(line.Remove(path{"keys"}, 1)));
  BOOST_TEST(line.Text() == "{\"keys\": [1]}");
  BOOST_TEST(Ok(line.Remove(path{"keys"}, 0)));
  BOOST_TEST(line.Text() == "{\"keys\": []}");
  BOOST_TEST(Ok(line.Append(path{"keys"}, "4")));
  BOOST_TEST(Ok(line.Append(path{"keys"}, "5")));
  BOOST_TEST(line.Text() == "{\"keys\": [4, 5]}");
  BOOST_TEST(!Ok(line.Remove(path{"keys"}, 2)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::settings

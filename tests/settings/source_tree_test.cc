#include "src/settings/source_tree.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

namespace radishwing::settings {
namespace {

struct fixture {
  source_tree Parse(std::string_view text) {
    checked<source_tree> parsed = ParseTree("a.json", text);
    BOOST_REQUIRE(parsed.index() == 0);
    return std::get<0>(std::move(parsed));
  }
  std::string Source(const source_tree& tree, text_range range) {
    return tree.text.substr(range.begin, range.end - range.begin);
  }
};

BOOST_FIXTURE_TEST_SUITE(source_tree_tests, fixture)

// Guards against a cursor that loses its place after comments or escapes,
// which would make findings and in-place edits hit the wrong text.
BOOST_AUTO_TEST_CASE(source_tree_comments_and_escapes_ranges_are_exact) {
  const source_tree tree = Parse(
      "// \"x\": {1}, \n{ /*a:,*/ \"n\\\"me\" /* , */ : // c\n"
      " [-1.5e3 /*}*/, true,null , \"a\\u00e9\\\\\" ,{}, []],\n"
      "\"\xc3\xa9\": false, \"big\": 18446744073709551615 } // end");
  const node_member& list = tree.root.members.at(0);
  BOOST_TEST(list.name == "n\"me");
  BOOST_TEST(Source(tree, list.name_range) == "\"n\\\"me\"");
  const char* const expected[] = {"-1.5e3",           "true", "null",
                                  "\"a\\u00e9\\\\\"", "{}",   "[]"};
  BOOST_REQUIRE(list.value.items.size() == 6);
  for (std::size_t i = 0; i < 6; ++i) {
    BOOST_TEST(Source(tree, list.value.items[i].range) == expected[i]);
  }
  BOOST_TEST(list.value.items[3].text == "a\xc3\xa9\\");
  const node_member& flag = tree.root.members.at(1);
  const text_place place = tree.lines.Place(tree.text, flag.value.range.begin);
  BOOST_TEST(place.line == 4);
  BOOST_TEST(place.column == 6);  // é counts as one character.
  BOOST_TEST(Source(tree, tree.root.members.at(2).value.range) ==
             "18446744073709551615");
}

// Guards against syntax errors without a usable place.
BOOST_AUTO_TEST_CASE(source_tree_malformed_text_reports_place) {
  struct bad_text {
    std::string text;
    int line;
    int column;
  };
  const bad_text bad_texts[] = {{"{\n  \"a\": 1,\n}", 3, 1},
                                {"{\"a\" 1}", 1, 6},
                                {"{\"a\": 1} x", 1, 10},
                                {"{\"a\": \"b", 1, 9},
                                {"", 1, 1},
                                {std::string(20, '['), 1, 17},
                                {"{\"a\": /* x }", 1, 13}};
  for (const bad_text& bad : bad_texts) {
    const checked<source_tree> parsed = ParseTree("a.json", bad.text);
    BOOST_REQUIRE_MESSAGE(parsed.index() == 1, bad.text);
    const finding& first = std::get<1>(parsed).front();
    BOOST_TEST_CONTEXT(bad.text << " -> " << FormatFinding(first)) {
      BOOST_TEST(first.line == bad.line);
      BOOST_TEST(first.column == bad.column);
    }
  }
}

BOOST_AUTO_TEST_CASE(source_tree_text_above_limit_is_rejected) {
  const std::string text(kMaxTextBytes + 1, ' ');
  BOOST_TEST(ParseTree("a.json", text).index() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::settings
